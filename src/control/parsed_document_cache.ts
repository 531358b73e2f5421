import type { DocumentHistory } from "../configuration/mod.ts";
import type { Finding, Result } from "../common/mod.ts";
import type { EnvironmentDocument } from "../document/mod.ts";
import type { AcceptedDocument } from "../session_server/mod.ts";

/**
 * Parses and validates the text of a document. The file name appears in the
 * findings.
 */
export type DocumentParser = (
  text: string,
  file: string,
) => Result<EnvironmentDocument, Finding[]>;

/** Caches the parsed current document of each environment. */
export class ParsedDocumentCache {
  readonly #history: DocumentHistory;
  readonly #parse: DocumentParser;
  readonly #parsed = new Map<string, AcceptedDocument>();

  /**
   * @param history The committed revisions.
   * @param parse Parses the text of a document.
   */
  constructor(history: DocumentHistory, parse: DocumentParser) {
    this.#history = history;
    this.#parse = parse;
  }

  /**
   * Gets the current document of an environment; parses it when its revision
   * is new.
   * @param environment Name of the environment.
   * @returns The document; `undefined` when there is none.
   */
  get(environment: string): AcceptedDocument | undefined {
    const current = this.#history.getCurrent(environment);
    if (current === undefined) {
      return undefined;
    }
    const cached = this.#parsed.get(environment);
    if (cached?.revision === current.revision) {
      return cached;
    }
    const { revision, digest } = current;
    const bytes = this.#history.getBytes(digest);
    const parsed = this.#parse(
      new TextDecoder().decode(bytes),
      `${environment} revision ${revision}`,
    );
    if (parsed.kind === "error") {
      // Documents are validated before they are committed, so only one that
      // another release accepted can fail here. The previously parsed
      // document, if any, stays in use.
      return cached;
    }
    const accepted = { revision, digest, document: parsed.value };
    this.#parsed.set(environment, accepted);
    return accepted;
  }
}
