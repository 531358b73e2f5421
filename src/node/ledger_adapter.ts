import type { LedgerClient } from "../control_client/mod.ts";
import type {
  ClaimDenial,
  ClaimOutcome,
  FenceOutcome,
  LedgerAnswer,
  LedgerPort,
} from "./ledger_port.ts";

/** Maximum size of an answer stored in the ledger, including its headers. */
const maximumAnswerBytes = 4096;

const knownDenials: ReadonlySet<string> = new Set<ClaimDenial>([
  "claim-ran",
  "claim-in-progress",
  "claim-unknown",
  "claim-superseded",
  "claim-released",
  "key-conflict",
  "ledger-full",
]);

/**
 * Creates the ledger that the node uses from a client of the control group.
 * @param client The client.
 * @returns The ledger.
 */
export function createLedgerPort(client: LedgerClient): LedgerPort {
  return {
    claim: async (options): Promise<ClaimOutcome> => {
      const outcome = await client.claim(options);
      if (outcome.kind !== "denied") {
        return outcome;
      }
      // A newer control instance may send unknown reasons. They must not be
      // treated as a permission to send the request again.
      const reason = knownDenials.has(outcome.reason)
        ? outcome.reason as ClaimDenial
        : "claim-unknown";
      return { kind: "denied", reason, answer: outcome.answer };
    },
    complete: ({ service, key, claimId, answer }) =>
      client.complete({
        service,
        key,
        claimId,
        answer:
          answer === undefined || getAnswerBytes(answer) > maximumAnswerBytes
            ? undefined
            : toHeldAnswer(answer),
      }),
    release: ({ service, key, claimId }) =>
      client.release({ service, key, claimId }),
    fence: async (options): Promise<FenceOutcome> => {
      const outcome = await client.fence(options);
      if (outcome.kind === "unavailable") {
        return outcome;
      }
      switch (outcome.status) {
        case "absent":
          return { kind: "absent" };
        case "claimed":
          return { kind: "in-progress" };
        case "completed":
          return { kind: "ran", answer: outcome.answer };
        case "unknown":
          return { kind: "unknown" };
      }
    },
    get knownIndex() {
      return client.knownIndex;
    },
  };
}

function getAnswerBytes(answer: LedgerAnswer): number {
  return answer.headers.reduce(
    (size, each) => size + each.length,
    answer.body.length,
  );
}

function toHeldAnswer(
  answer: LedgerAnswer,
): { status: number; headers: string[]; body: Buffer } {
  return {
    status: answer.status,
    headers: [...answer.headers],
    body: Buffer.from(answer.body),
  };
}
