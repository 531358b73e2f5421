import type { ServerDuplexStream } from "@grpc/grpc-js";
import {
  getNodeKey,
  getViewDelta,
  getViewDigest,
  isLiveTarget,
  type KnownTarget,
} from "../membership/mod.ts";
import type {
  ControlMessage,
  Hello,
  NodeMessage,
} from "../protocol/generated/session.ts";
import type { DocumentParts } from "./document_parts.ts";
import {
  createViewUpdate,
  encodeControlMessage,
  type EncodedMessage,
} from "./messages.ts";
import type { QuarantineUpdate } from "./quarantine_update.ts";

/** The stream of a node's session. */
export type SessionStream = ServerDuplexStream<NodeMessage, ControlMessage>;

/** Encodes the update of a document for the nodes of a service. */
export type DocumentEncoder = (
  parts: DocumentParts,
  options: { service: string; isPartKnown: boolean },
) => EncodedMessage;

/** Why a node lacks a document that its instance has. */
export type MissingDocumentCause =
  /** It was not sent to the node. */
  | "not-sent"
  /** An earlier document is still being written to the stream. */
  | "waiting"
  /** The node has received it, and does not report it as in force. */
  | "not-applied";

/** Session of a node: its stream, and the state that was sent to the node. */
export class NodeSession {
  readonly stream: SessionStream;
  readonly hello: Hello;
  readonly nodeKey: string;
  readonly sessionSequence: number;
  /** Services whose views the node requested, beyond those of the document. */
  readonly requestedServices = new Set<string>();
  readonly #views = new Map<string, readonly KnownTarget[]>();
  readonly #helloDigests: Map<string, string>;
  /** Sequence of the renewal whose answer last contained link shares. */
  linkSharesSequence = 0;
  /** Sequence of the first answer that contained the node's place. */
  quotaPlaceSequence: number | undefined;
  /** Sequence of the last permit grant. */
  permitSequence = 0;
  /** Sequence of the renewal that was answered last. */
  answeredSequence = 0;
  /** Highest revision that the node has, was sent, or that waits to be sent. */
  #offeredRevision: number;
  #sentRevision: number;
  /** Value of `answeredSequence` when the last document was sent. */
  #documentSequence = 0;
  #partHash: string;
  /** Key of the quarantine that was sent last; `undefined` if none was. */
  #quarantineKey: string | undefined;
  #isRedirected = false;
  #controlAddresses = "";
  #isSendingDocument = false;
  #sendWaitingDocument: (() => void) | undefined;

  /**
   * @param stream The stream.
   * @param hello The node's first message.
   */
  constructor(stream: SessionStream, hello: Hello) {
    this.stream = stream;
    this.hello = hello;
    this.nodeKey = getNodeKey(hello);
    this.sessionSequence = hello.sessionSequence;
    this.#helloDigests = new Map(
      hello.viewDigests.map((view) => [view.service, view.digest]),
    );
    this.#offeredRevision = hello.revision;
    this.#sentRevision = hello.revision;
    this.#partHash = hello.partHash;
  }

  send(message: ControlMessage["message"] | EncodedMessage): void {
    if (this.stream.writable) {
      this.#write(
        Buffer.isBuffer(message) ? message : encodeControlMessage(message),
      );
    }
  }

  /**
   * Gets the control addresses to send to the node.
   * @param addresses Addresses of all control instances.
   * @returns The addresses, or none if they were sent to the node before.
   */
  takeChangedControlAddresses(addresses: readonly string[]): string[] {
    const text = addresses.toSorted().join(" ");
    if (text === this.#controlAddresses) {
      return [];
    }
    this.#controlAddresses = text;
    return [...addresses];
  }

  /** Reports whether the node has got a list of quarantined fingerprints. */
  get hasQuarantine(): boolean {
    return this.#quarantineKey !== undefined;
  }

  /**
   * Sends the quarantined fingerprints unless they were sent before.
   * @param update The whole list.
   */
  sendQuarantine(update: QuarantineUpdate): void {
    if (update.key !== this.#quarantineKey) {
      this.#quarantineKey = update.key;
      this.send(update.getMessage());
    }
  }

  /** Reports whether a revision has to be sent to the node. */
  needsDocument(revision: number): boolean {
    return revision > this.#offeredRevision && this.stream.writable;
  }

  /**
   * Sends a document unless the node has that revision or a higher one. While an
   * earlier document is on its way, only the newest one waits to be sent.
   * @param parts The document.
   * @param encode Encodes an update; may share the result between nodes.
   * @returns Whether the document was sent or waits to be sent.
   */
  sendDocument(parts: DocumentParts, encode: DocumentEncoder): boolean {
    const { revision } = parts.accepted;
    if (!this.needsDocument(revision)) {
      return false;
    }
    this.#offeredRevision = revision;
    if (this.#isSendingDocument) {
      this.#sendWaitingDocument = () => this.#writeDocument(parts, encode);
    } else {
      this.#writeDocument(parts, encode);
    }
    return true;
  }

  #writeDocument(parts: DocumentParts, encode: DocumentEncoder): void {
    const { service } = this.hello;
    const { hash } = parts.getPart(service);
    this.#isSendingDocument = true;
    this.#write(
      encode(parts, { service, isPartKnown: hash === this.#partHash }),
      () => {
        this.#isSendingDocument = false;
        const sendWaiting = this.#sendWaitingDocument;
        this.#sendWaitingDocument = undefined;
        if (this.stream.writable) {
          sendWaiting?.();
        }
      },
    );
    this.#sentRevision = parts.accepted.revision;
    this.#documentSequence = this.answeredSequence;
    this.#partHash = hash;
  }

  /**
   * Gets why the node lacks a document.
   * @param document Its revision, and the sequence of the last answer that the
   * node has received.
   * @returns The cause; `undefined` while the document may be on its way.
   */
  getMissingCause(
    document: { revision: number; receivedSequence: number },
  ): MissingDocumentCause | undefined {
    if (this.#sentRevision < document.revision) {
      return this.#isSendingDocument ? "waiting" : "not-sent";
    }
    // The stream keeps the order of messages, so the node has received what was
    // sent before an answer that it has.
    return document.receivedSequence > this.#documentSequence
      ? "not-applied"
      : undefined;
  }

  /**
   * Sends the changes of a view since it was last sent.
   * @param service The service.
   * @param next The targets that the node should have.
   * @param options Whether this instance may not know all targets yet, whether
   * a digest must be sent even without a change, how to get the record of a
   * target that is no longer in the view, and the monotonic time.
   */
  sendView(
    service: string,
    next: readonly KnownTarget[],
    options: {
      collecting: boolean;
      hasDigest?: boolean;
      getRecord: (targetId: string) => KnownTarget | undefined;
      now: number;
    },
  ): void {
    const previous = this.#views.get(service);
    this.#views.set(service, next);
    const { collecting, now } = options;
    if (previous === undefined) {
      if (
        collecting || this.#helloDigests.get(service) !== getViewDigest(next)
      ) {
        this.sendFullView(service, { collecting, now });
      }
      return;
    }
    const delta = getViewDelta(previous, next) ??
      (options.hasDigest
        ? {
          full: false,
          changed: [],
          removedTargetIds: [],
          digest: getViewDigest(next),
          collecting,
        }
        : undefined);
    if (delta !== undefined) {
      const view = createViewUpdate(
        collecting
          ? {
            ...delta,
            // The node removes only targets that are known to have ended: their
            // records are sent, and no target is removed by its id.
            changed: [
              ...delta.changed,
              ...delta.removedTargetIds.map(options.getRecord)
                .filter((each) => each !== undefined && !isLiveTarget(each)),
            ].filter((each) => each !== undefined),
            removedTargetIds: [],
            digest: "",
            collecting,
          }
          : delta,
        { service, now },
      );
      this.send({ $case: "view", view });
    }
  }

  /** Sends all targets of a view that the node should have. */
  sendFullView(
    service: string,
    options: { collecting: boolean; now: number },
  ): void {
    const targets = this.#views.get(service) ?? [];
    const view = createViewUpdate({
      full: true,
      changed: targets,
      removedTargetIds: [],
      digest: options.collecting ? "" : getViewDigest(targets),
      collecting: options.collecting,
    }, { service, now: options.now });
    this.send({ $case: "view", view });
  }

  /** Discards the state of a view that the node no longer needs. */
  dropView(service: string): void {
    this.#views.delete(service);
    this.#helloDigests.delete(service);
  }

  get viewedServices(): readonly string[] {
    return [...this.#views.keys()];
  }

  /**
   * Asks the node once to move to another instance.
   * @returns Whether it was asked now.
   */
  redirect(reason: string, controlAddresses: readonly string[]): boolean {
    if (this.#isRedirected) {
      return false;
    }
    this.#isRedirected = true;
    this.send(createRedirect(reason, controlAddresses));
    return true;
  }

  /** Allows another redirect to be sent. */
  resetRedirect(): void {
    this.#isRedirected = false;
  }

  end(): void {
    this.stream.end();
  }

  /**
   * Writes an encoded message, which the service definition also accepts.
   * @param onWritten Called when the connection has taken it, or has ended.
   */
  #write(encoded: EncodedMessage, onWritten?: () => void): void {
    this.stream.write(encoded as unknown as ControlMessage, onWritten);
  }
}

/** Creates the message that asks a node to move to another instance. */
export function createRedirect(
  reason: string,
  controlAddresses: readonly string[],
): ControlMessage["message"] {
  return {
    $case: "redirect",
    redirect: {
      refusal: {
        reason,
        message: `This control instance does not hold sessions: ${reason}`,
        controlAddresses: [...controlAddresses],
      },
    },
  };
}
