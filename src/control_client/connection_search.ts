import type { Interceptor } from "@grpc/grpc-js";
import type { Log } from "../common/mod.ts";
import type {
  ControlMessage,
  Hello,
  NodeMessage,
} from "../protocol/generated/session.ts";
import { SessionConnection, type SessionEnd } from "./session_connection.ts";
import type { SearchTiming } from "./session_timing.ts";

/** Settings and events of a {@link ConnectionSearch}; times in milliseconds. */
export interface ConnectionSearchOptions {
  readonly interceptors: readonly Interceptor[];
  /** Time after which a connection attempt without an answer is closed. */
  readonly connectTimeoutMilliseconds: number;
  readonly log?: Log | undefined;
  /** Creates the hello of an attempt. */
  createHello(options: { acceptsIsolated: boolean }): Hello;
  /** Called when an instance has accepted the node; the other attempts are closed. */
  onAccepted(connection: SessionConnection): void;
  /** Called with each message of an accepted connection, the first one included. */
  onMessage(connection: SessionConnection, message: ControlMessage): void;
  /** Called with a message that was not sent, because it cannot be encoded. */
  onNotSent(message: NodeMessage["message"], reason: string): void;
  /** Called when an accepted connection has ended. */
  onEnded(connection: SessionConnection, end: SessionEnd): void;
  /** Called when an instance could not handle the hello. */
  onHelloFault(reason: string): void;
  /** Called when no instance has accepted the node. */
  onExhausted(): void;
}

/** How the instances of a list are tried. */
export interface SearchPass extends SearchTiming {
  /** Whether an instance that is isolated may accept the node. */
  readonly acceptsIsolated: boolean;
}

/**
 * Tries control instances one after the other until one accepts the node. Attempts
 * that are not answered go on while others are made.
 */
export class ConnectionSearch {
  readonly #options: ConnectionSearchOptions;
  readonly #pending = new Set<SessionConnection>();
  #candidates: string[] = [];
  #pass: SearchPass | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param options The settings, and what is called with the result. */
  constructor(options: ConnectionSearchOptions) {
    this.#options = options;
  }

  /** Whether {@link ConnectionSearchOptions.onExhausted} is still to be called. */
  get isActive(): boolean {
    return this.#timer !== undefined;
  }

  /** Whether an instance may still accept the node. */
  get hasPendingAttempts(): boolean {
    return this.#pending.size > 0;
  }

  /**
   * Starts to try instances.
   * @param addresses The instances, the preferred ones first.
   * @param pass How they are tried.
   */
  start(addresses: readonly string[], pass: SearchPass): void {
    this.#candidates = [...addresses];
    this.#pass = pass;
    this.#tryNext(pass);
  }

  /** Closes all attempts. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#candidates = [];
    this.#pending.forEach((each) => each.close());
    this.#pending.clear();
  }

  #tryNext(pass: SearchPass): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const address = this.#candidates.shift();
    if (address === undefined) {
      this.#options.onExhausted();
      return;
    }
    const { acceptsIsolated } = pass;
    const connection = new SessionConnection({
      address,
      interceptors: this.#options.interceptors,
      hello: this.#options.createHello({ acceptsIsolated }),
      onMessage: (from, message) => this.#onMessage(from, message),
      onNotSent: this.#options.onNotSent,
      onConnectionEnded: (from, end) => this.#onEnded(from, end),
    });
    this.#pending.add(connection);
    setTimeout(
      () => this.#onAttemptFailed(connection, "no answer"),
      this.#options.connectTimeoutMilliseconds,
    ).unref();
    this.#timer = setTimeout(
      () => this.#tryNext(pass),
      this.#candidates.length > 0
        ? pass.attemptDelayMilliseconds
        : pass.passDelayMilliseconds,
    );
  }

  #onMessage(connection: SessionConnection, message: ControlMessage): void {
    const content = message.message;
    if (this.#pending.has(connection)) {
      if (content?.$case !== "renewAnswer") {
        // The instance did not accept the hello, for example with a redirect.
        const reason = content?.$case === "redirect"
          ? content.redirect.refusal?.reason
          : content?.$case;
        this.#onAttemptFailed(connection, reason ?? "unknown");
        return;
      }
      this.#pending.delete(connection);
      this.stop();
      this.#options.onAccepted(connection);
    }
    this.#options.onMessage(connection, message);
  }

  #onEnded(connection: SessionConnection, end: SessionEnd): void {
    if (!this.#pending.has(connection)) {
      this.#options.onEnded(connection, end);
      return;
    }
    if (end.isProtocolError) {
      this.#options.onHelloFault(end.reason);
    }
    this.#onAttemptFailed(connection, end.reason);
  }

  #onAttemptFailed(connection: SessionConnection, reason: string): void {
    if (this.#pending.delete(connection)) {
      connection.close();
      this.#options.log?.info("control attempt failed", {
        address: connection.address,
        reason,
      });
      const isNextDue = this.#candidates.length > 0 || this.#pending.size === 0;
      if (this.#pass !== undefined && this.isActive && isNextDue) {
        this.#tryNext(this.#pass);
      }
    }
  }
}
