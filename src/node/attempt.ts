import type { IncomingMessage } from "node:http";
import type {
  Answer,
  CallFailure,
  Disposition,
  LoadHint,
  RefusalReason,
  ServiceLevel,
} from "../request/mod.ts";
import type { AttemptOutcome } from "../routing/mod.ts";
import type { CallPhase } from "./call_phase.ts";
import type { ResponseHead } from "./exchange.ts";

/** Failure of an attempt that ended without a response of the target. */
export interface AttemptFailure extends CallFailure {
  /** Attempts that were delegated with the attempt and not used. */
  readonly unusedAttempts: number;
  readonly levels: readonly ServiceLevel[];
  readonly load?: LoadHint | undefined;
}

/** A response whose body is passed on while it is received. */
export interface StreamedResponse {
  readonly head: ResponseHead;
  readonly response: IncomingMessage;
  /** Chunks of the body that were already read. */
  readonly chunks: readonly Buffer[];
  /** Called by the receiver when the body ended or was aborted. */
  onEnd(isComplete: boolean, bytes: number): void;
}

/** Receives the outcome of an attempt; exactly one method is called. */
export interface AttemptSink {
  /**
   * Receives a response that was buffered to its end. The receiver releases the
   * bytes of its body from the memory budget.
   */
  onBufferedResponse(answer: Answer, head: ResponseHead, body: Buffer): void;
  onStreamedResponse(answer: Answer, streamed: StreamedResponse): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt in progress. */
export interface Attempt {
  /** What the attempt waits for. */
  readonly phase: CallPhase;
  /** Whether a byte of the request may have been sent. */
  readonly mayHaveBeenSent: boolean;
  /**
   * Cancels the attempt; its sink is not called afterwards.
   * @returns Whether the call ran, as far as is known.
   */
  cancel(): Disposition;
}

const noLevels: readonly ServiceLevel[] = [];

/**
 * Creates the failure of an attempt that got no answer from the target's node.
 * @param failure What happened.
 * @param unusedAttempts Delegated attempts that were not used.
 * @returns The failure.
 */
export function createAttemptFailure(
  failure: CallFailure,
  unusedAttempts: number,
): AttemptFailure {
  const { disposition, reason, message } = failure;
  return { disposition, reason, message, unusedAttempts, levels: noLevels };
}

const capacityReasons: ReadonlySet<RefusalReason> = new Set([
  "queue-full",
  "evicted",
  "caller-share",
  "deadline-too-short",
  "target-shed",
  "body-memory",
  "suspect",
]);

/** Checks whether a reason is a refusal for lack of capacity. */
export function isCapacityReason(reason: RefusalReason): boolean {
  return capacityReasons.has(reason);
}

/** Share of its limit up to which a target counts as having free slots. */
const freeSlotsShare = 0.8;

/**
 * Checks whether a target shed a call although it had free slots. Its load is not
 * the cause then, so that another attempt may succeed at once.
 */
export function isShedWithFreeSlots(
  { reason, load }: Pick<AttemptFailure, "reason" | "load">,
): boolean {
  return reason === "target-shed" && load !== undefined && load.queued === 0 &&
    load.running < freeSlotsShare * load.limit;
}

const unavailableReasons: ReadonlySet<RefusalReason> = new Set([
  "node-unreachable",
  "target-unreachable",
  "no-target",
  "target-draining",
  "stopping",
]);

/** Checks whether the call may have been sent to the target itself. */
export function hasReachedTarget(failure: CallFailure): boolean {
  return failure.disposition !== "not-run" ||
    failure.reason === "target-shed";
}

/** Checks whether a reason means that the target is not available. */
export function isUnavailableReason(reason: RefusalReason): boolean {
  return unavailableReasons.has(reason);
}

/**
 * Gets the outcome of a failed attempt for the router.
 * @param failure The failure.
 * @returns The kind of the outcome.
 */
export function getOutcomeKind(
  failure: AttemptFailure,
): AttemptOutcome["kind"] {
  if (isUnavailableReason(failure.reason)) {
    return "unreachable";
  }
  if (isCapacityReason(failure.reason)) {
    return "refused";
  }
  return failure.disposition === "unknown" || failure.reason === "peer-rejected"
    ? "failed"
    : "completed";
}
