import type { Interceptor } from "@grpc/grpc-js";
import { match } from "ts-pattern";
import {
  type Clock,
  type Log,
  type RandomSource,
  systemClock,
} from "../common/mod.ts";
import type {
  HeldAnswer,
  LedgerOperation,
  LedgerResult,
} from "../protocol/generated/ledger.ts";
import { LedgerTransport } from "./ledger_transport.ts";

/** Idempotency key of a call to a service, within the node's environment. */
export interface LedgerKey {
  readonly service: string;
  readonly key: string;
}

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: "granted" }
  | {
    readonly kind: "denied";
    /** One of the reasons of `Denied` in ledger.proto. */
    readonly reason: string;
    /** The stored answer of the earlier attempt, while the ledger keeps it. */
    readonly answer: HeldAnswer | undefined;
  }
  /** Not granted; a claim that the ledger may have recorded is released. */
  | { readonly kind: "unavailable" };

/** State of a key after a fence or a lookup. */
export type FenceOutcome =
  | {
    readonly kind: "state";
    readonly status: "absent" | "claimed" | "completed" | "unknown";
    readonly answer: HeldAnswer | undefined;
    /** Whether the call did not run: its claim was released, or it is fenced. */
    readonly notRun: boolean;
  }
  | { readonly kind: "unavailable" };

/** Settings of a ledger client; times in milliseconds. */
export interface LedgerClientOptions {
  readonly environment: string;
  readonly nodeId: string;
  readonly incarnation: number;
  /** Gets the control addresses, the preferred one first. */
  getControlAddresses(): readonly string[];
  /** Interceptors that add the authentication token to each call. */
  readonly interceptors?: readonly Interceptor[];
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly log?: Log;
  /** Deadline of each call to control. */
  readonly callTimeoutMilliseconds?: number;
  /** Delay before the first retry; it doubles with each retry, up to 2 s. */
  readonly initialRetryDelayMilliseconds?: number;
}

/** Outcome of one operation. */
type OperationOutcome =
  | { readonly kind: "result"; readonly result: LedgerResult }
  /** It was not executed, and never will be. */
  | { readonly kind: "refused" }
  /** It may have been executed, or may still be. */
  | { readonly kind: "lost" };

interface PendingOperation {
  readonly operation: LedgerOperation;
  /** Monotonic time after which the operation is no longer sent. */
  readonly sendDeadline: number;
  readonly settle: (outcome: OperationOutcome) => void;
}

const maximumBatchOperations = 64;
// With two calls, one batch can be sent while the other waits for consensus.
const maximumCallsInFlight = 2;
const maximumRetryDelayMilliseconds = 2000;
// Claims are refused without being sent while this many completions and releases
// are unconfirmed, so that an outage of control does not fill the node's memory.
const maximumUnconfirmed = 4096;

/**
 * Sends the ledger operations of all calls of a node to control, in batches.
 * Operations that are submitted while the maximum number of batches is in flight
 * wait for the next batch.
 */
export class LedgerClient {
  readonly #options: LedgerClientOptions;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #transport: LedgerTransport;
  readonly #initialRetryDelayMilliseconds: number;
  readonly #pauseCancellers = new Set<() => void>();
  #queue: PendingOperation[] = [];
  #callsInFlight = 0;
  #isFlushScheduled = false;
  #knownIndex = 0;
  #unconfirmedCount = 0;
  #isStopped = false;

  constructor(options: LedgerClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#initialRetryDelayMilliseconds =
      options.initialRetryDelayMilliseconds ?? 100;
    this.#transport = new LedgerTransport({
      getAddresses: () => options.getControlAddresses(),
      interceptors: options.interceptors ?? [],
      callTimeoutMilliseconds: options.callTimeoutMilliseconds ?? 1000,
    });
  }

  /** Highest ledger index that this node has received. */
  get knownIndex(): number {
    return this.#knownIndex;
  }

  /** Number of completions and releases that control has not confirmed. */
  get unconfirmedCount(): number {
    return this.#unconfirmedCount;
  }

  /** Records a ledger index from another source, such as a renewal answer. */
  recordIndex(index: number): void {
    this.#knownIndex = Math.max(this.#knownIndex, index);
  }

  /**
   * Claims a key for an attempt. The attempt may run only when the outcome is
   * `granted`. A claim whose answer was lost is released.
   * @param options The key and the attempt; `deadlineMilliseconds` is the
   * remaining time, `entryIndex` the highest ledger index that the node where
   * the call entered had received.
   */
  async claim(
    options: LedgerKey & {
      claimId: string;
      fingerprint: string;
      deadlineMilliseconds: number;
      entryIndex: number;
    },
  ): Promise<ClaimOutcome> {
    if (this.#unconfirmedCount >= maximumUnconfirmed) {
      return { kind: "unavailable" };
    }
    const { claimId, fingerprint, deadlineMilliseconds, entryIndex } = options;
    const sendDeadline = this.#clock.monotonicMilliseconds() +
      deadlineMilliseconds;
    const outcome = await this.#submit({
      service: options.service,
      key: options.key,
      operation: {
        $case: "claim",
        claim: {
          claimId,
          fingerprint,
          deadlineMilliseconds: Math.max(Math.floor(deadlineMilliseconds), 0),
          entryIndex,
        },
      },
    }, sendDeadline);
    if (outcome.kind === "refused") {
      return { kind: "unavailable" };
    }
    const result = outcome.kind === "result"
      ? outcome.result.result
      : undefined;
    return match<typeof result, ClaimOutcome>(result)
      .with({ $case: "granted" }, () => ({ kind: "granted" }))
      .with({ $case: "denied" }, ({ denied }) => ({
        kind: "denied",
        reason: denied.reason,
        answer: denied.answer,
      }))
      .otherwise(() => {
        void this.release(options);
        return { kind: "unavailable" };
      });
  }

  /**
   * Records that the attempt of a claim ran. Retried until control confirms it.
   * @param options The claim and its answer; the answer is absent when it is too
   * large to store.
   */
  complete(
    options: LedgerKey & { claimId: string; answer?: HeldAnswer | undefined },
  ): Promise<void> {
    return this.#submitUntilConfirmed({
      service: options.service,
      key: options.key,
      operation: {
        $case: "complete",
        complete: { claimId: options.claimId, answer: options.answer },
      },
    });
  }

  /**
   * Releases a key whose attempt did not run. Retried until control confirms it.
   * @param options The claim.
   */
  release(options: LedgerKey & { claimId: string }): Promise<void> {
    return this.#submitUntilConfirmed({
      service: options.service,
      key: options.key,
      operation: { $case: "release", release: { claimId: options.claimId } },
    });
  }

  /**
   * Makes the ledger deny all earlier sends of a key.
   * @param options The key and the remaining time, within which the fence is
   * retried; 2 s by default.
   */
  async fence(
    options: LedgerKey & { deadlineMilliseconds?: number },
  ): Promise<FenceOutcome> {
    const deadline = this.#clock.monotonicMilliseconds() +
      (options.deadlineMilliseconds ?? 2000);
    const { service, key } = options;
    for (let attempt = 0; !this.#isStopped; attempt++) {
      const outcome = await this.#submit({
        service,
        key,
        operation: { $case: "fence", fence: {} },
      }, deadline);
      if (
        outcome.kind === "result" && outcome.result.result?.$case === "state"
      ) {
        return toFenceOutcome(outcome.result.result.state);
      }
      const delay = this.#getRetryDelay(attempt);
      if (this.#clock.monotonicMilliseconds() + delay >= deadline) {
        break;
      }
      await this.#pause(delay);
    }
    return { kind: "unavailable" };
  }

  /** Stops all retries and closes the connections. */
  stop(): void {
    this.#isStopped = true;
    const queue = this.#queue;
    this.#queue = [];
    queue.forEach((pending) => pending.settle({ kind: "refused" }));
    this.#pauseCancellers.forEach((cancel) => cancel());
    this.#transport.close();
  }

  async #submitUntilConfirmed(operation: LedgerOperation): Promise<void> {
    this.#unconfirmedCount++;
    for (let attempt = 0; !this.#isStopped; attempt++) {
      const outcome = await this.#submit(operation, Number.POSITIVE_INFINITY);
      if (
        outcome.kind === "result" && outcome.result.result !== undefined
      ) {
        break;
      }
      await this.#pause(this.#getRetryDelay(attempt));
    }
    this.#unconfirmedCount--;
  }

  #getRetryDelay(attempt: number): number {
    const maximumDelay = Math.min(
      this.#initialRetryDelayMilliseconds * 2 ** Math.min(attempt, 10),
      maximumRetryDelayMilliseconds,
    );
    return maximumDelay * (0.5 + this.#random() / 2);
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finishPause = () => {
        clearTimeout(timer);
        this.#pauseCancellers.delete(finishPause);
        resolve();
      };
      const timer = setTimeout(finishPause, milliseconds);
      this.#pauseCancellers.add(finishPause);
    });
  }

  #submit(
    operation: LedgerOperation,
    sendDeadline: number,
  ): Promise<OperationOutcome> {
    if (this.#isStopped) {
      return Promise.resolve({ kind: "refused" });
    }
    return new Promise((settle) => {
      this.#queue.push({ operation, sendDeadline, settle });
      if (!this.#isFlushScheduled) {
        this.#isFlushScheduled = true;
        setImmediate(() => {
          this.#isFlushScheduled = false;
          this.#flush();
        });
      }
    });
  }

  #flush(): void {
    while (
      this.#queue.length > 0 && this.#callsInFlight < maximumCallsInFlight &&
      !this.#isStopped
    ) {
      const now = this.#clock.monotonicMilliseconds();
      const batch: PendingOperation[] = [];
      for (const pending of this.#queue.splice(0, maximumBatchOperations)) {
        if (pending.sendDeadline > now) {
          batch.push(pending);
        } else {
          pending.settle({ kind: "refused" });
        }
      }
      if (batch.length > 0) {
        this.#callsInFlight++;
        void this.#call(batch);
      }
    }
  }

  async #call(batch: readonly PendingOperation[]): Promise<void> {
    const { environment, nodeId, incarnation } = this.#options;
    const outcome = await this.#transport.submit({
      environment,
      nodeId,
      incarnation,
      operations: batch.map((pending) => pending.operation),
    });
    this.#callsInFlight--;
    if (outcome.kind === "answer") {
      this.recordIndex(outcome.answer.index);
    }
    batch.forEach((pending, index) => {
      const result = outcome.kind === "answer"
        ? outcome.answer.results[index]
        : undefined;
      pending.settle(
        result !== undefined
          ? { kind: "result", result }
          : { kind: outcome.kind === "refused" ? "refused" : "lost" },
      );
    });
    this.#flush();
  }
}

function toFenceOutcome(
  state: { status: string; answer: HeldAnswer | undefined; notRun: boolean },
): FenceOutcome {
  const { status, answer, notRun } = state;
  switch (status) {
    case "absent":
    case "claimed":
    case "completed":
      return { kind: "state", status, answer, notRun };
    default:
      return { kind: "state", status: "unknown", answer, notRun };
  }
}
