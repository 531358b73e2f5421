import type { ProposeError } from "../consensus/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";

/** Every reason for which a control instance refuses a call. */
export const controlRefusalReasons = [
  "not-leader",
  "isolated",
  "outcome-unknown",
  "storage-failed",
  "member-change-refused",
  "unsupported-format",
  "invalid-document",
  "invalid-request",
  "unknown-environment",
  "unknown-revision",
  "unknown-target",
  "session-elsewhere",
  "unsupported-operation",
  "stopping",
] as const;

/** A reason for which a control instance refuses a call. */
export type ControlRefusalReason = (typeof controlRefusalReasons)[number];

/**
 * Creates a refusal.
 * @param reason The reason.
 * @param message What the caller should know.
 * @param options Instances worth asking next.
 * @returns The refusal.
 */
export function createRefusal(
  reason: ControlRefusalReason,
  message: string,
  options: { controlAddresses?: readonly string[] } = {},
): Refusal {
  const controlAddresses = [...options.controlAddresses ?? []];
  return { reason, message, controlAddresses };
}

/**
 * Describes why a command was not applied, or is not known to be.
 * @param error The error of the replicated log.
 * @returns The refusal.
 */
export function createProposeRefusal(error: ProposeError): Refusal {
  switch (error.kind) {
    case "not-leader":
      return createRefusal("not-leader", "This instance is not the leader", {
        controlAddresses: error.leaderAddress ? [error.leaderAddress] : [],
      });
    case "isolated":
      return createRefusal("isolated", "This instance reaches no majority");
    case "outcome-unknown":
      return createRefusal(
        "outcome-unknown",
        "The command was proposed, but its result is not known",
      );
    case "storage-failed":
    case "member-change-refused":
      return createRefusal(error.kind, error.message);
  }
}
