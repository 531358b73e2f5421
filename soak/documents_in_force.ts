import {
  type EnvironmentDocument,
  getDocumentPart,
  getKeyDigest,
  parseDocument,
  RouteTable,
} from "../src/document/mod.ts";

/** A document that a node put in force. */
export interface DocumentStart {
  readonly revision: number;
  readonly milliseconds: number;
}

/** A request, as far as it decides which route it matches. */
export interface RouteRequest {
  /** Value of the header Host. */
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** Key of a request from outside; absent for none. */
  readonly accessKey?: string | undefined;
  /** Whether the request came to the listener for callers outside. */
  readonly isOutside: boolean;
}

/** The documents that one node had in force, and the routes that they allow. */
export class DocumentsInForce {
  readonly #service: string;
  readonly #starts: readonly DocumentStart[];
  readonly #getDocument: (revision: number) => string | undefined;
  readonly #parts = new Map<number, EnvironmentDocument | undefined>();

  /**
   * @param service Service of the node.
   * @param starts The documents that the node put in force, in this order.
   * @param getDocument Gets the text of a revision.
   */
  constructor(
    service: string,
    starts: readonly DocumentStart[],
    getDocument: (revision: number) => string | undefined,
  ) {
    this.#service = service;
    this.#starts = starts;
    this.#getDocument = getDocument;
  }

  /**
   * Reports whether each document that the node had in force during a period
   * allows a request.
   * @param request The request.
   * @param fromMilliseconds Start of the period.
   * @param toMilliseconds End of the period.
   */
  allowThroughout(
    request: RouteRequest,
    fromMilliseconds: number,
    toMilliseconds: number,
  ): boolean {
    const first = this.#starts.findLastIndex(({ milliseconds }) =>
      milliseconds < fromMilliseconds
    );
    return this.#starts.slice(Math.max(0, first))
      .filter(({ milliseconds }) => milliseconds <= toMilliseconds)
      .every(({ revision }) => this.#allows(revision, request));
  }

  #allows(revision: number, request: RouteRequest): boolean {
    const part = this.#getPart(revision);
    if (part === undefined) {
      return false;
    }
    const { host, method, path, accessKey, isOutside } = request;
    const hasHost = part.services.has(host);
    if (!hasHost && !isOutside) {
      return false;
    }
    const service = hasHost ? host : this.#service;
    const route = new RouteTable(part).getRoute({ service, method, path });
    const needsKey = isOutside && part.tenants !== undefined &&
      route?.isPublic !== true;
    return route !== undefined &&
      (!needsKey || holdsKey(part, accessKey ?? ""));
  }

  #getPart(revision: number): EnvironmentDocument | undefined {
    if (!this.#parts.has(revision)) {
      const text = this.#getDocument(revision);
      this.#parts.set(
        revision,
        text === undefined ? undefined : parsePart(text, this.#service),
      );
    }
    return this.#parts.get(revision);
  }
}

/**
 * Reads which documents a node put in force.
 * @param log The log of its process, of all its starts.
 * @returns The documents in the order of the log.
 */
export function readDocumentStarts(log: string): DocumentStart[] {
  return log.split("\n")
    .filter((line) => line.includes('event="document in force"'))
    .map((line) => ({
      revision: Number(/ revision=(\d+)/.exec(line)?.[1]),
      milliseconds: Date.parse(/\btime=(\S+)/.exec(line)?.[1] ?? ""),
    }));
}

function holdsKey({ tenants }: EnvironmentDocument, key: string): boolean {
  const digest = getKeyDigest(key);
  return tenants?.some((each) => each.keyDigests.includes(digest)) === true;
}

function parsePart(text: string, service: string): EnvironmentDocument {
  const parsed = parseDocument(text, "document.toml");
  if (parsed.kind === "error") {
    throw new Error(`A document is invalid: ${JSON.stringify(parsed)}`);
  }
  return getDocumentPart(parsed.value, service);
}
