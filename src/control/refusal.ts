import type { ProposeError } from "../consensus/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";

/** Every reason for which a control instance refuses a call. */
export const controlRefusalReasons = [
  "not-leader",
  "isolated",
  "outdated",
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
 * @param message Description for the caller.
 * @param options Addresses of instances to which the caller should send the call.
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
 * Creates the refusal for a command that was not applied, or whose outcome is
 * unknown.
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
      return createRefusal(
        "isolated",
        "This instance cannot reach a majority of the group",
      );
    case "outdated":
      return createRefusal(
        "outdated",
        "This instance lacks changes that the group has accepted",
      );
    case "outcome-unknown":
      return createRefusal(
        "outcome-unknown",
        "The command was proposed, but its outcome is unknown",
      );
    case "storage-failed":
    case "member-change-refused":
      return createRefusal(error.kind, error.message);
  }
}
