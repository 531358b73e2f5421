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

/** Options of {@link ParsedDocumentCache}. */
export interface ParsedDocumentCacheOptions {
  /** The committed revisions. */
  readonly history: DocumentHistory;
  readonly parse: DocumentParser;
  /** Called once for a revision that this release cannot parse. */
  onUnreadable(
    environment: string,
    revision: number,
    findings: readonly Finding[],
  ): void;
}

/** Caches the parsed current document of each environment. */
export class ParsedDocumentCache {
  readonly #options: ParsedDocumentCacheOptions;
  readonly #parsed = new Map<string, AcceptedDocument>();
  /** Revisions that this release cannot parse, by environment. */
  readonly #unreadableRevisions = new Map<string, number>();

  /** @param options The revisions, and how to parse them. */
  constructor(options: ParsedDocumentCacheOptions) {
    this.#options = options;
  }

  /** Reports whether this release can parse the current document. */
  isReadable(environment: string): boolean {
    const revision = this.#options.history.getCurrent(environment)?.revision;
    return this.get(environment)?.revision === revision;
  }

  /**
   * Gets the current document of an environment; parses it when its revision
   * is new.
   * @param environment Name of the environment.
   * @returns The document; `undefined` when there is none.
   */
  get(environment: string): AcceptedDocument | undefined {
    const { history, parse, onUnreadable } = this.#options;
    const current = history.getCurrent(environment);
    if (current === undefined) {
      return undefined;
    }
    const cached = this.#parsed.get(environment);
    if (
      cached?.revision === current.revision ||
      this.#unreadableRevisions.get(environment) === current.revision
    ) {
      return cached;
    }
    const { revision, digest } = current;
    const bytes = history.getBytes(digest);
    const parsed = parse(
      new TextDecoder().decode(bytes),
      `${environment} revision ${revision}`,
    );
    if (parsed.kind === "error") {
      // Documents are validated before they are committed, so only one that
      // another release accepted can fail here. The previously parsed
      // document, if any, stays in use.
      this.#unreadableRevisions.set(environment, revision);
      onUnreadable(environment, revision, parsed.error);
      return cached;
    }
    const accepted = { revision, digest, document: parsed.value };
    this.#parsed.set(environment, accepted);
    return accepted;
  }
}
