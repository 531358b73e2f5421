import type { Clock } from "../common/mod.ts";
import type { Objective } from "../document/mod.ts";
import type { RefusalReason } from "../request/mod.ts";

/** A call that arrives at the target. */
export interface AdmissionRequest {
  /** Unique among the calls at this target. */
  readonly id: string;
  readonly caller: string;
  /** Index of the class; 0 is the most important. */
  readonly classIndex: number;
  /** Length of the call chain, including this call. */
  readonly depth: number;
  /** `getStableHash` of the identity of the whole request. */
  readonly hash: number;
  readonly remainingMilliseconds: number;
  /** Whether the call may crash the target and so must run alone. */
  readonly isSuspect: boolean;
}

/** Decision on a call on arrival. */
export type AdmissionDecision =
  | { readonly kind: "run" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly reason: RefusalReason };

/** Decision on a queued call. */
export type AdmissionEvent =
  | { readonly kind: "run"; readonly id: string }
  | {
    readonly kind: "refused";
    readonly id: string;
    readonly reason: RefusalReason;
  };

/** How a running call ended. */
export interface CallOutcome {
  readonly kind:
    | "completed"
    /** The target refused for lack of capacity. */
    | "shed"
    /** No connection could be made, or the target crashed. */
    | "unreachable"
    /** The request was sent, and no valid response came back. */
    | "broken"
    | "cancelled";
  /** Time at the target, without the time that it waited for its own calls. */
  readonly serviceMilliseconds: number;
}

/** Options of an admission controller. */
export interface AdmissionOptions {
  /** Calls that the target can run at once. */
  readonly slots: number;
  /** Whether the target announced the slots; otherwise the document has them. */
  readonly areSlotsAnnounced?: boolean;
  readonly classCount: number;
  readonly objective: Objective;
  /**
   * Largest share of the running and of the queued calls of a class for one
   * caller while others wait, 0 to 1.
   */
  readonly callerShare: number;
  readonly clock: Clock;
  /**
   * Gets the class by which the admission level compares calls of a class: that
   * of the request that the call is part of. The queue uses the call's own
   * class. Both are the same when absent.
   */
  readonly getRequestClassIndex?: (classIndex: number) => number;
}

/** State of an admission controller. */
export interface AdmissionStatus {
  readonly limit: number;
  readonly running: number;
  readonly queued: number;
  readonly level: number;
}
