import { encodeControlMessage, type EncodedMessage } from "./messages.ts";

/** The quarantined fingerprints of an environment, as nodes get them. */
export interface QuarantineUpdate {
  /** Text that differs between lists. */
  readonly key: string;
  readonly message: EncodedMessage;
}

/**
 * Creates the update for the nodes of an environment.
 * @param fingerprints All quarantined fingerprints, in any order.
 */
export function createQuarantineUpdate(
  fingerprints: readonly string[],
): QuarantineUpdate {
  const quarantined = fingerprints.toSorted();
  return {
    key: quarantined.join("\n"),
    message: encodeControlMessage({
      $case: "suspects",
      suspects: {
        suspects: [],
        cleared: [],
        quarantined,
        hasQuarantined: true,
      },
    }),
  };
}
