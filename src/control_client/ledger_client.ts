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

/** The key of a call, within the node's environment. */
export interface LedgerKey {
  readonly service: string;
  readonly key: string;
}

/** What became of a claim. */
export type ClaimOutcome =
  | { readonly kind: "granted" }
  | {
    readonly kind: "denied";
    /** One of the reasons of `Denied` in ledger.proto. */
    readonly reason: string;
    /** The earlier answer, while it is held. */
    readonly answer: HeldAnswer | undefined;
  }
  /** Not granted: whatever the ledger recorded is released. */
  | { readonly kind: "unavailable" };

/** State of a key after a fence or a lookup. */
export type FenceOutcome =
  | {
    readonly kind: "state";
    readonly status: "absent" | "claimed" | "completed" | "unknown";
    readonly answer: HeldAnswer | undefined;
    /** Whether the key was released after a claim, or fenced. */
    readonly notRun: boolean;
  }
  | { readonly kind: "unavailable" };

/** Settings of a ledger client; times in milliseconds. */
export interface LedgerClientOptions {
  readonly environment: string;
  readonly nodeId: string;
  readonly incarnation: number;
  /** Gets the control addresses, the best one first. */
  getControlAddresses(): readonly string[];
  /** Adds the token to each call. */
  readonly interceptors?: readonly Interceptor[];
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly log?: Log;
  /** Deadline of each call to control. */
  readonly callMilliseconds?: number;
  /** First pause before a repetition; doubles up to 2 s. */
  readonly retryMilliseconds?: number;
}

/** What became of one operation. */
type OperationOutcome =
  | { readonly kind: "result"; readonly result: LedgerResult }
  /** It was not carried out, and never will be. */
  | { readonly kind: "refused" }
  /** It may have been carried out, or may still be. */
  | { readonly kind: "lost" };

interface Pending {
  readonly operation: LedgerOperation;
  /** Monotonic time after which it is not sent any more. */
  readonly sendBy: number;
  readonly settle: (outcome: OperationOutcome) => void;
}

const maximumBatch = 64;
// Two batches fill the time in which the other one is agreed on.
const maximumCallsInFlight = 2;
const longestRetryMilliseconds = 2000;
// Claims are refused before they are sent while this many releases wait, so
// that an outage of control does not fill the node's memory.
const maximumRepeated = 4096;

/**
 * Sends the ledger operations of all calls of a node, many in one message.
 * While a message is under way, new operations wait for the next one.
 */
export class LedgerClient {
  readonly #options: LedgerClientOptions;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #transport: LedgerTransport;
  readonly #retryMilliseconds: number;
  readonly #stops = new Set<() => void>();
  #queue: Pending[] = [];
  #callsInFlight = 0;
  #isFlushPlanned = false;
  #knownIndex = 0;
  #repeated = 0;
  #isStopped = false;

  constructor(options: LedgerClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#retryMilliseconds = options.retryMilliseconds ?? 100;
    this.#transport = new LedgerTransport({
      getAddresses: () => options.getControlAddresses(),
      interceptors: options.interceptors ?? [],
      callMilliseconds: options.callMilliseconds ?? 1000,
    });
  }

  /** Highest ledger index that this node knows of. */
  get knownIndex(): number {
    return this.#knownIndex;
  }

  /** Number of completions and releases that control has not confirmed. */
  get unconfirmedCount(): number {
    return this.#repeated;
  }

  /** Takes in an index that came another way, such as a lease answer. */
  recordIndex(index: number): void {
    this.#knownIndex = Math.max(this.#knownIndex, index);
  }

  /**
   * Claims a key for an attempt. Only `granted` allows the attempt; a claim
   * whose answer was lost is released here.
   * @param options The key and the attempt; `deadlineMilliseconds` is the time
   * left, `entryIndex` the index known where the call entered.
   */
  async claim(
    options: LedgerKey & {
      claimId: string;
      fingerprint: string;
      deadlineMilliseconds: number;
      entryIndex: number;
    },
  ): Promise<ClaimOutcome> {
    if (this.#repeated >= maximumRepeated) {
      return { kind: "unavailable" };
    }
    const { claimId, fingerprint, deadlineMilliseconds, entryIndex } = options;
    const sendBy = this.#clock.monotonicMilliseconds() + deadlineMilliseconds;
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
    }, sendBy);
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
   * Records that the attempt of a claim ran. Repeated until confirmed.
   * @param options The claim and its answer, absent when it is too large.
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
   * Frees a key whose attempt did not run. Repeated until confirmed.
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
   * Makes the ledger refuse all earlier sends of a key.
   * @param options The key and the time left; repeated within that time.
   */
  async fence(
    options: LedgerKey & { deadlineMilliseconds?: number },
  ): Promise<FenceOutcome> {
    const endsAt = this.#clock.monotonicMilliseconds() +
      (options.deadlineMilliseconds ?? 2000);
    const { service, key } = options;
    for (let attempt = 0; !this.#isStopped; attempt++) {
      const outcome = await this.#submit({
        service,
        key,
        operation: { $case: "fence", fence: {} },
      }, endsAt);
      if (
        outcome.kind === "result" && outcome.result.result?.$case === "state"
      ) {
        return toFenceOutcome(outcome.result.result.state);
      }
      const delay = this.#getRetryDelay(attempt);
      if (this.#clock.monotonicMilliseconds() + delay >= endsAt) {
        break;
      }
      await this.#pause(delay);
    }
    return { kind: "unavailable" };
  }

  /** Stops repeating operations and closes the connections. */
  stop(): void {
    this.#isStopped = true;
    const queue = this.#queue;
    this.#queue = [];
    queue.forEach((pending) => pending.settle({ kind: "refused" }));
    this.#stops.forEach((stop) => stop());
    this.#transport.close();
  }

  async #submitUntilConfirmed(operation: LedgerOperation): Promise<void> {
    this.#repeated++;
    for (let attempt = 0; !this.#isStopped; attempt++) {
      const outcome = await this.#submit(operation, Number.POSITIVE_INFINITY);
      if (
        outcome.kind === "result" && outcome.result.result !== undefined
      ) {
        break;
      }
      await this.#pause(this.#getRetryDelay(attempt));
    }
    this.#repeated--;
  }

  #getRetryDelay(attempt: number): number {
    const limit = Math.min(
      this.#retryMilliseconds * 2 ** Math.min(attempt, 10),
      longestRetryMilliseconds,
    );
    return limit * (0.5 + this.#random() / 2);
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const stop = () => {
        clearTimeout(timer);
        this.#stops.delete(stop);
        resolve();
      };
      const timer = setTimeout(stop, milliseconds);
      this.#stops.add(stop);
    });
  }

  #submit(
    operation: LedgerOperation,
    sendBy: number,
  ): Promise<OperationOutcome> {
    if (this.#isStopped) {
      return Promise.resolve({ kind: "refused" });
    }
    return new Promise((settle) => {
      this.#queue.push({ operation, sendBy, settle });
      if (!this.#isFlushPlanned) {
        this.#isFlushPlanned = true;
        setImmediate(() => {
          this.#isFlushPlanned = false;
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
      const batch: Pending[] = [];
      for (const pending of this.#queue.splice(0, maximumBatch)) {
        if (pending.sendBy > now) {
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

  async #call(batch: readonly Pending[]): Promise<void> {
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
