import { deflateRawSync } from "node:zlib";
import { getBytesHash } from "../common/mod.ts";
import {
  CallGraph,
  encodeDocumentPart,
  getDocumentPart,
  getRouteServices,
} from "../document/mod.ts";
import type { AcceptedDocument } from "./control_state.ts";

/** The part of a revision that the nodes of one service get. */
export interface DocumentPart {
  readonly hash: string;
  readonly compressed: Buffer;
}

/** The parts and the call graph of one revision; each part is encoded once. */
export class DocumentParts {
  readonly accepted: AcceptedDocument;
  /** Text that differs between revisions whose services call other services. */
  readonly callGraphKey: string;
  readonly #graph: CallGraph;
  readonly #parts = new Map<string, DocumentPart>();
  readonly #callers = new Map<string, string[]>();
  /** Services of routes with a host; calls to them can enter at every node. */
  readonly #entryServices: readonly string[];

  constructor(accepted: AcceptedDocument) {
    this.accepted = accepted;
    this.#graph = new CallGraph(accepted.document);
    for (const service of accepted.document.services.keys()) {
      for (const callee of this.#graph.getDirectCallees(service)) {
        const callers = this.#callers.get(callee) ?? [];
        callers.push(service);
        this.#callers.set(callee, callers);
      }
    }
    const entered = accepted.document.routes
      .filter((route) => route.host !== undefined)
      .flatMap(getRouteServices);
    this.#entryServices = [...new Set(entered)].sort();
    this.callGraphKey = JSON.stringify([
      [...this.#callers],
      this.#entryServices,
    ]);
  }

  /** Gets the part for the nodes of a service. */
  getPart(service: string): DocumentPart {
    const known = this.#parts.get(service);
    if (known !== undefined) {
      return known;
    }
    const encoded = encodeDocumentPart(
      getDocumentPart(this.accepted.document, service),
    );
    const part = {
      hash: getBytesHash(encoded),
      compressed: deflateRawSync(encoded),
    };
    this.#parts.set(service, part);
    return part;
  }

  getCallees(service: string): readonly string[] {
    const declared = this.#graph.getDirectCallees(service);
    return this.#entryServices.length === 0
      ? declared
      : [...new Set([...declared, ...this.#entryServices])];
  }

  getCallers(service: string): readonly string[] {
    return this.#entryServices.includes(service)
      ? [...this.accepted.document.services.keys()]
      : this.#callers.get(service) ?? [];
  }
}
