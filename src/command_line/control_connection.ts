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

/** Delay before all addresses are tried again. */
const roundDelayMilliseconds = 200;
const defaultAttemptTimeoutMilliseconds = 3000;
/** Size up to which a document needs no longer attempt. */
const smallDocumentBytes = 256 * 1024;
/** Least speed at which an instance checks and replicates a document. */
const minimumBytesPerMillisecond = 128;

/**
 * Gets the time limit of one attempt to change a document. A large document that
 * is sent again while it is being checked costs the instances its check again.
 * @param bytes Size of the document.
 * @returns The limit in milliseconds.
 */
export function getChangeTimeoutMilliseconds(bytes: number): number {
  return defaultAttemptTimeoutMilliseconds +
    Math.max(0, bytes - smallDocumentBytes) / minimumBytesPerMillisecond;
}

/**
 * Refusal reasons after which another instance, or the same one later, may
 * accept the call.
 */
export const retryableReasons: ReadonlySet<string> = new Set([
  "not-leader",
  "isolated",
  "outdated",
  "stopping",
  "storage-failed",
  "session-elsewhere",
  "outcome-unknown",
]);

/** A method of a generated service definition. */
export interface UnaryMethod<Request, Response> {
  readonly path: string;
  readonly requestSerialize: (value: Request) => Buffer;
  readonly responseDeserialize: (value: Buffer) => Response;
}

/** Why a call failed. */
export type CallFailure =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "unauthenticated"; readonly message: string }
  /** No instance responded in time; the call may have been executed. */
  | { readonly kind: "unreachable"; readonly message: string };

/** Options of a {@link ControlConnection}. */
export interface ControlConnectionOptions {
  readonly addresses: readonly string[];
  readonly interceptors: readonly Interceptor[];
  /** Time limit of a call, including all instances and resends. */
  readonly timeoutMilliseconds: number;
}

/**
 * Calls the control group through any instance that can execute the call. A
 * call is sent again when its response is lost, so every request must be
 * idempotent.
 */
export class ControlConnection {
  readonly #options: ControlConnectionOptions;
  readonly #clients = new Map<string, Client>();

  constructor(options: ControlConnectionOptions) {
    this.#options = options;
  }

  /**
   * Calls a method on one instance after another until one executes it.
   * @param method The method.
   * @param request The request, which stays the same on each resend.
   * @param options Time limit of one attempt, for methods that need longer.
   * @returns The response, or why the call failed.
   */
  async call<Request, Response extends { refusal: Refusal | undefined }>(
    method: UnaryMethod<Request, Response>,
    request: Request,
    options: { attemptTimeoutMilliseconds?: number } = {},
  ): Promise<Result<Response, CallFailure>> {
    const timeoutMilliseconds = Math.max(
      this.#options.timeoutMilliseconds,
      options.attemptTimeoutMilliseconds ?? 0,
    );
    const end = Date.now() + timeoutMilliseconds;
    const queue = [...this.#options.addresses];
    let failure: CallFailure = {
      kind: "unreachable",
      message: "No control address was given",
    };
    while (Date.now() < end) {
      const address = queue.shift();
      if (address === undefined) {
        await sleep(
          Math.min(roundDelayMilliseconds, Math.max(0, end - Date.now())),
        );
        queue.push(...this.#options.addresses);
        continue;
      }
      const deadline = Math.min(
        end,
        Date.now() +
          (options.attemptTimeoutMilliseconds ??
            defaultAttemptTimeoutMilliseconds),
      );
      const response = await this.#send(method, request, { address, deadline });
      if (response.kind === "ok") {
        const { refusal } = response.value;
        if (refusal === undefined) {
          return ok(response.value);
        }
        failure = { kind: "refused", refusal };
        if (!retryableReasons.has(refusal.reason)) {
          return response;
        }
        queue.unshift(
          ...refusal.controlAddresses.filter((each) => each !== address),
        );
        // Two instances may name each other as leader during an election. The
        // pause keeps such redirects from becoming a busy loop.
        if (refusal.controlAddresses.length > 0) {
          await sleep(20);
        }
      } else if (response.error.code === status.UNAUTHENTICATED) {
        return failed({
          kind: "unauthenticated",
          message: `${address}: ${response.error.details}`,
        });
      } else {
        failure = {
          kind: "unreachable",
          message: `${address}: ${response.error.details}`,
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

  #send<Request, Response>(
    method: UnaryMethod<Request, Response>,
    request: Request,
    options: { address: string; deadline: number },
  ): Promise<Result<Response, ServiceError>> {
    const { address, deadline } = options;
    return new Promise((resolve) => {
      this.#getClient(address).makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        new Metadata(),
        { deadline },
        (error, response) =>
          error === null
            ? resolve(ok(response as Response))
            : resolve(failed(error)),
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
