import { setTimeout as sleep } from "node:timers/promises";
import {
  Client,
  credentials,
  type Interceptor,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { failed, ok, type Result } from "../common/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";

/** Pause after every address was tried. */
const roundMilliseconds = 200;
const attemptMilliseconds = 3000;

/** Reasons for which another instance, or a resend, may succeed. */
const passingReasons = new Set([
  "not-leader",
  "isolated",
  "stopping",
  "session-elsewhere",
  "outcome-unknown",
]);

/** A method of a generated service definition. */
export interface UnaryMethod<Request, Reply> {
  readonly path: string;
  readonly requestSerialize: (value: Request) => Buffer;
  readonly responseDeserialize: (value: Buffer) => Reply;
}

/** Why a call has no reply. */
export type CallFailure =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "unauthenticated"; readonly message: string }
  /** No instance answered in time; the call may have been carried out. */
  | { readonly kind: "unreachable"; readonly message: string };

/** How to reach the control group. */
export interface ControlConnectionOptions {
  readonly addresses: readonly string[];
  readonly interceptors: readonly Interceptor[];
  /** Time for a call over all instances and resends. */
  readonly timeoutMilliseconds: number;
}

/**
 * Calls whichever control instance can answer. A call is sent again after a
 * lost answer, so that every request must be harmless when it is repeated.
 */
export class ControlConnection {
  readonly #options: ControlConnectionOptions;
  readonly #clients = new Map<string, Client>();

  constructor(options: ControlConnectionOptions) {
    this.#options = options;
  }

  /**
   * Calls a method, on one instance after another until one carries it out.
   * @param method The method.
   * @param request The request; the same on each resend.
   * @param options Time for one attempt, for methods that take long.
   * @returns The reply, or why there is none.
   */
  async call<Request, Reply extends { refusal: Refusal | undefined }>(
    method: UnaryMethod<Request, Reply>,
    request: Request,
    options: { attemptMilliseconds?: number } = {},
  ): Promise<Result<Reply, CallFailure>> {
    const limit = Math.max(
      this.#options.timeoutMilliseconds,
      options.attemptMilliseconds ?? 0,
    );
    const end = Date.now() + limit;
    const queue = [...this.#options.addresses];
    let failure: CallFailure = {
      kind: "unreachable",
      message: "No control address was given",
    };
    while (Date.now() < end) {
      const address = queue.shift();
      if (address === undefined) {
        await sleep(Math.min(roundMilliseconds, Math.max(0, end - Date.now())));
        queue.push(...this.#options.addresses);
        continue;
      }
      const deadline = Math.min(
        end,
        Date.now() + (options.attemptMilliseconds ?? attemptMilliseconds),
      );
      const sent = await this.#send(method, request, { address, deadline });
      if (sent.kind === "ok") {
        const { refusal } = sent.value;
        if (refusal === undefined) {
          return ok(sent.value);
        }
        failure = { kind: "refused", refusal };
        if (!passingReasons.has(refusal.reason)) {
          return sent;
        }
        queue.unshift(
          ...refusal.controlAddresses.filter((each) => each !== address),
        );
        // Two instances may name each other as leader during an election.
        if (refusal.controlAddresses.length > 0) {
          await sleep(20);
        }
      } else if (sent.error.code === status.UNAUTHENTICATED) {
        return failed({
          kind: "unauthenticated",
          message: `${address}: ${sent.error.details}`,
        });
      } else {
        failure = {
          kind: "unreachable",
          message: `${address}: ${sent.error.details}`,
        };
      }
    }
    return failed(failure);
  }

  /** Closes all connections. */
  close(): void {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }

  #send<Request, Reply>(
    method: UnaryMethod<Request, Reply>,
    request: Request,
    options: { address: string; deadline: number },
  ): Promise<Result<Reply, ServiceError>> {
    const { address, deadline } = options;
    return new Promise((resolve) => {
      this.#getClient(address).makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        new Metadata(),
        { deadline },
        (error, reply) =>
          error === null ? resolve(ok(reply as Reply)) : resolve(failed(error)),
      );
    });
  }

  #getClient(address: string): Client {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new Client(address, credentials.createInsecure(), {
        interceptors: [...this.#options.interceptors],
        "grpc.max_receive_message_length": 16 * 1024 * 1024,
        "grpc.initial_reconnect_backoff_ms": 100,
        "grpc.max_reconnect_backoff_ms": 1000,
      });
      this.#clients.set(address, client);
    }
    return client;
  }
}
