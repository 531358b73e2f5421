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
import type { ResponseHead } from "./exchange.ts";

/** An attempt that gave no response of the target. */
export interface AttemptFailure extends CallFailure {
  /** Attempts that were handed down and not used. */
  readonly unusedAttempts: number;
  readonly levels: readonly ServiceLevel[];
  readonly load?: LoadHint | undefined;
}

/** A response that is streamed. */
export interface StreamedResponse {
  readonly head: ResponseHead;
  readonly response: IncomingMessage;
  /** Chunks that were read before. */
  readonly chunks: readonly Buffer[];
  /** Called by the receiver when the whole body passed or broke off. */
  onEnd(isComplete: boolean, bytes: number): void;
}

/** Receives the outcome of an attempt; exactly one method is called. */
export interface AttemptSink {
  /** The receiver releases the bytes of the body. */
  onBufferedResponse(answer: Answer, head: ResponseHead, body: Buffer): void;
  onStreamedResponse(answer: Answer, streamed: StreamedResponse): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt under way. */
export interface Attempt {
  /**
   * Ends the attempt; its sink is not called any more.
   * @returns What is known about whether it ran.
   */
  cancel(): Disposition;
}

const noLevels: readonly ServiceLevel[] = [];

/**
 * Creates the failure of an attempt of which nothing was handed down further.
 * @param failure What happened.
 * @param unusedAttempts Attempts that were not used.
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
  "suspect",
]);

/** Reports whether a reason is a refusal for lack of capacity. */
export function isCapacityReason(reason: RefusalReason): boolean {
  return capacityReasons.has(reason);
}

const unavailableReasons: ReadonlySet<RefusalReason> = new Set([
  "node-unreachable",
  "target-unreachable",
  "no-target",
  "target-draining",
  "stopping",
]);

/** Reports whether the target itself was sent the call. */
export function hasReachedTarget(failure: CallFailure): boolean {
  return failure.disposition !== "not-run" ||
    failure.reason === "target-shed";
}

/** Reports whether a reason means that the target takes no calls. */
export function isUnavailableReason(reason: RefusalReason): boolean {
  return unavailableReasons.has(reason);
}

/**
 * Gets what a failed attempt says about its target.
 * @param failure The failure.
 * @returns The kind for the router.
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
  return failure.disposition === "unknown" ? "failed" : "completed";
}
