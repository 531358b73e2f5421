import type { Metrics } from "../common/mod.ts";
import type {
  LedgerBatch,
  LedgerBatchAnswer,
  LedgerServer,
} from "../protocol/generated/ledger.ts";
import { formatVersion } from "./control_state_machine.ts";
import { LedgerBatcher } from "./ledger_batcher.ts";
import type { Proposer } from "./proposer.ts";
import { createRefusal } from "./refusal.ts";

/** Maximum number of operations in the batch of a node. */
const maximumOperationsPerBatch = 1000;

/**
 * Creates the ledger service of an instance.
 * @param proposer Proposes the log entries.
 * @param metrics Counts results and refusals.
 * @returns The handlers.
 */
export function createLedgerService(
  proposer: Proposer,
  metrics: Metrics,
): LedgerServer {
  const batcher = new LedgerBatcher((batches) =>
    proposer.propose({ $case: "ledger", ledger: { batches } })
  );
  return {
    submit: async (call, callback) => {
      const refusal = validateBatch(call.request);
      const answer = refusal === undefined
        ? await batcher.submit(call.request)
        : { formatVersion, refusal, index: 0, results: [] };
      countAnswer(metrics, call.request.environment, answer);
      callback(null, answer);
    },
  };
}

function validateBatch(batch: LedgerBatch) {
  if (batch.formatVersion > formatVersion) {
    return createRefusal(
      "unsupported-format",
      `Batch has format version ${batch.formatVersion}`,
    );
  }
  if (batch.operations.length > maximumOperationsPerBatch) {
    return createRefusal(
      "invalid-request",
      `Expected at most ${maximumOperationsPerBatch} operations in a batch`,
    );
  }
  return undefined;
}

function countAnswer(
  metrics: Metrics,
  environment: string,
  answer: LedgerBatchAnswer,
): void {
  const { refusal, results } = answer;
  if (refusal !== undefined) {
    metrics.increment("ledger.refused", { reason: refusal.reason });
    return;
  }
  const counts = new Map<string, number>();
  for (const { result } of results) {
    const name = result?.$case === "denied"
      ? result.denied.reason
      : result?.$case ?? "none";
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const [result, count] of counts) {
    metrics.increment("ledger.results", { environment, result }, count);
  }
}
