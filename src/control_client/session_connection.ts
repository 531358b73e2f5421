import {
  Client,
  type ClientDuplexStream,
  credentials,
  type Interceptor,
  status,
  type StatusObject,
} from "@grpc/grpc-js";
import { formatVersion } from "../protocol/format_version.ts";
import {
  type ControlMessage,
  type Hello,
  type NodeMessage,
  SessionService,
} from "../protocol/generated/session.ts";

/** Maximum size of a message; a part with 100,000 keys takes 4 MiB. */
const maximumMessageBytes = 16 * 1024 * 1024;

/** Settings of a connection. */
export interface SessionConnectionOptions {
  readonly address: string;
  readonly interceptors: readonly Interceptor[];
  readonly hello: Hello;
  onMessage(connection: SessionConnection, message: ControlMessage): void;
  /** Called with a message that was not sent, because it cannot be encoded. */
  onNotSent(message: NodeMessage["message"], reason: string): void;
  /** Called once, unless the connection was closed from this side. */
  onConnectionEnded(connection: SessionConnection, end: SessionEnd): void;
}

/** Why a session stream ended. */
export interface SessionEnd {
  readonly reason: string;
  /** Whether one of the sides could not handle a message of the other. */
  readonly isProtocolError: boolean;
}

/**
 * Statuses of a stream that ended because of a message. A connection that is lost
 * and an instance that ends have others.
 */
const protocolErrors: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT,
  status.RESOURCE_EXHAUSTED,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.INTERNAL,
  status.DATA_LOSS,
]);

/** A session stream to one control instance, on a TCP connection of its own. */
export class SessionConnection {
  readonly address: string;
  /** Whether the node accepts the instance although it is isolated. */
  readonly acceptsIsolated: boolean;
  readonly #client: Client;
  readonly #stream: ClientDuplexStream<Buffer, ControlMessage>;
  readonly #onNotSent: SessionConnectionOptions["onNotSent"];
  #isClosed = false;
  /** Sequence of the last hello that was sent on this connection. */
  sessionSequence: number;

  constructor(options: SessionConnectionOptions) {
    this.address = options.address;
    this.#onNotSent = options.onNotSent;
    this.acceptsIsolated = options.hello.acceptsIsolated;
    this.sessionSequence = options.hello.sessionSequence;
    // Uses a channel pool of its own, so that closing the client also closes the
    // TCP connection. A shared pool would reuse a connection that a network
    // partition has broken without a reset.
    this.#client = new Client(
      options.address,
      credentials.createInsecure(),
      {
        "grpc.use_local_subchannel_pool": 1,
        "grpc.enable_retries": 0,
        "grpc.max_receive_message_length": maximumMessageBytes,
        interceptors: [...options.interceptors],
      },
    );
    const { path, responseDeserialize } = SessionService.open;
    this.#stream = this.#client.makeBidiStreamRequest(
      path,
      (bytes: Buffer) => bytes,
      responseDeserialize,
    );
    this.#stream.on("data", (message: ControlMessage) => {
      if (!this.#isClosed && message.formatVersion === formatVersion) {
        options.onMessage(this, message);
      }
    });
    const onEnd = (end: SessionEnd) => {
      if (!this.#isClosed) {
        this.close();
        options.onConnectionEnded(this, end);
      }
    };
    this.#stream.on("error", (error: Error & Partial<StatusObject>) =>
      onEnd({
        reason: error.message,
        isProtocolError: isProtocolError(error),
      }));
    this.#stream.on("end", () =>
      onEnd({
        reason: "the instance ended the session",
        isProtocolError: false,
      }));
    this.send({ $case: "hello", hello: options.hello });
  }

  /** Sends a message. One that cannot be encoded would end the stream. */
  send(message: NodeMessage["message"]): void {
    if (this.#isClosed) {
      return;
    }
    let bytes: Buffer;
    try {
      bytes = SessionService.open.requestSerialize({ formatVersion, message });
    } catch (error) {
      this.#onNotSent(message, (error as Error).message);
      return;
    }
    this.#stream.write(bytes);
  }

  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#stream.cancel();
      this.#client.close();
    }
  }
}

function isProtocolError({ code, details }: Partial<StatusObject>): boolean {
  // The connection may break in a way that has the status of a bad message.
  const isReset = details?.startsWith("Received RST_STREAM") === true;
  return code !== undefined && protocolErrors.has(code) && !isReset;
}
