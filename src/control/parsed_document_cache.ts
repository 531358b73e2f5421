import type { DocumentHistory } from "../configuration/mod.ts";
import type { Finding, Result } from "../common/mod.ts";
import type { EnvironmentDocument } from "../document/mod.ts";
import type { AcceptedDocument } from "../session_server/mod.ts";

/** Parses and checks the text of a document. */
export type DocumentParser = (
  text: string,
  file: string,
) => Result<EnvironmentDocument, Finding[]>;

/** Parses the current document of each environment once per revision. */
export class ParsedDocumentCache {
  readonly #history: DocumentHistory;
  readonly #parse: DocumentParser;
  readonly #parsed = new Map<string, AcceptedDocument>();

  /**
   * @param history The confirmed revisions.
   * @param parse Reads the format of the documents.
   */
  constructor(history: DocumentHistory, parse: DocumentParser) {
    this.#history = history;
    this.#parse = parse;
  }

  /**
   * Gets the current document of an environment.
   * @param environment Its name.
   * @returns The document; `undefined` when there is none.
   */
  get(environment: string): AcceptedDocument | undefined {
    const current = this.#history.getCurrent(environment);
    if (current === undefined) {
      return undefined;
    }
    const known = this.#parsed.get(environment);
    if (known?.revision === current.revision) {
      return known;
    }
    const { revision, digest } = current;
    const bytes = this.#history.getBytes(digest);
    const parsed = this.#parse(
      new TextDecoder().decode(bytes),
      `${environment} revision ${revision}`,
    );
    if (parsed.kind === "error") {
      // Only a document accepted by another release can come here; the
      // earlier one stays in use.
      return known;
    }
    const accepted = { revision, digest, document: parsed.value };
    this.#parsed.set(environment, accepted);
    return accepted;
  }
}
