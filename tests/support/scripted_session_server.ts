import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type status,
} from "@grpc/grpc-js";
import { formatVersion } from "../../src/protocol/format_version.ts";
import {
  type ControlMessage,
  type DocumentUpdate,
  type NodeMessage,
  SessionService,
} from "../../src/protocol/generated/session.ts";

/** Behavior of a {@link ScriptedSessionServer}. */
export interface ScriptedSessionServerOptions {
  /** Revision in each answer to a renewal. */
  readonly statedRevision: number;
  /**
   * Gets the document that a session is sent at its start.
   * @param session Number of the session; 1 is the first one.
   */
  getDocument(session: number): DocumentUpdate | undefined;
  /**
   * Gets the status with which a session ends on an announcement; `undefined` when
   * it goes on.
   */
  getAnnouncementStatus?(): status | undefined;
}

/** Serves sessions of nodes with fixed messages, as a faulty instance may do. */
export class ScriptedSessionServer {
  sessionCount = 0;
  readonly #options: ScriptedSessionServerOptions;
  readonly #server = new Server();

  constructor(options: ScriptedSessionServerOptions) {
    this.#options = options;
    this.#server.addService(SessionService, {
      open: (stream: ServerDuplexStream<NodeMessage, ControlMessage>) => {
        stream.on(
          "data",
          ({ message }: NodeMessage) => this.#onMessage(stream, message),
        );
        stream.on("error", () => {});
      },
    });
  }

  /**
   * Listens, and gets the address.
   * @param address Where to listen; by default on a free port of loopback.
   */
  async listen(address: string = "127.0.0.1:0"): Promise<string> {
    const port = await new Promise<number>((resolve, reject) =>
      this.#server.bindAsync(
        address,
        ServerCredentials.createInsecure(),
        (error, bound) => error === null ? resolve(bound) : reject(error),
      )
    );
    return address.replace(/\d+$/, `${port}`);
  }

  stop(): void {
    this.#server.forceShutdown();
  }

  #onMessage(
    stream: ServerDuplexStream<NodeMessage, ControlMessage>,
    message: NodeMessage["message"],
  ): void {
    if (message?.$case === "renew") {
      this.#answer(stream, message.renew.sequence);
    }
    const code = message?.$case === "announcement"
      ? this.#options.getAnnouncementStatus?.()
      : undefined;
    if (code !== undefined) {
      stream.emit("error", { code, details: "the announcement is refused" });
      return;
    }
    if (message?.$case === "hello") {
      this.sessionCount++;
      this.#answer(stream, 0);
      const document = this.#options.getDocument(this.sessionCount);
      if (document !== undefined) {
        stream.write({
          formatVersion,
          message: { $case: "document", document },
        });
      }
    }
  }

  #answer(
    stream: ServerDuplexStream<NodeMessage, ControlMessage>,
    sequence: number,
  ): void {
    stream.write({
      formatVersion,
      message: {
        $case: "renewAnswer",
        renewAnswer: {
          sequence,
          leaseMilliseconds: 10_000,
          ledgerIndex: 0,
          linkShares: [],
          revision: this.#options.statedRevision,
          controlAddresses: [],
          hasAllRecords: false,
          quotaPlace: undefined,
        },
      },
    });
  }
}
