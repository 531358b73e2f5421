import { encodeControlMessage, type EncodedMessage } from "./messages.ts";

/** The quarantined fingerprints of an environment, as nodes get them. */
export interface QuarantineUpdate {
  /** Text that differs between lists. */
  readonly key: string;
  /** Gets the message, which is encoded when the first node needs it. */
  getMessage(): EncodedMessage;
}

/**
 * Creates the update for the nodes of an environment.
 * @param fingerprints All quarantined fingerprints, in any order.
 */
export function createQuarantineUpdate(
  fingerprints: readonly string[],
): QuarantineUpdate {
  const quarantined = fingerprints.toSorted();
  let message: EncodedMessage | undefined;
  return {
    key: quarantined.join("\n"),
    getMessage: () =>
      message ??= encodeControlMessage({
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
