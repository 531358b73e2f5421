import type { Refusal } from "../protocol/generated/common.ts";
import type { ControlResult } from "../protocol/generated/control.ts";
import type {
  LedgerBatch,
  LedgerBatchAnswer,
} from "../protocol/generated/ledger.ts";
import { failed, type Result } from "../common/mod.ts";
import { formatVersion } from "./control_state_machine.ts";
import { createRefusal } from "./refusal.ts";

/**
 * Maximum number of operations in one log entry; further batches go into the
 * next entry. A single larger batch still gets an entry of its own.
 */
export const maximumOperationsPerEntry = 2000;
/** Number of entries that may be proposed and not yet answered. */
export const maximumEntriesInFlight = 4;

/** Proposes one log entry with a list of batches. */
export type ProposeBatches = (
  batches: LedgerBatch[],
) => Promise<Result<ControlResult["result"], Refusal>>;

interface PendingBatch {
  readonly batch: LedgerBatch;
  readonly resolve: (answer: LedgerBatchAnswer) => void;
}

/** Combines batches of several nodes that arrive together into one log entry. */
export class LedgerBatcher {
  readonly #propose: ProposeBatches;
  #pending: PendingBatch[] = [];
  #inFlight = 0;
  #isScheduled = false;

  /**
   * @param propose Proposes one log entry.
   */
  constructor(propose: ProposeBatches) {
    this.#propose = propose;
  }

  /**
   * Submits the batch of a node.
   * @param batch The batch.
   * @returns Its answer; contains a refusal when there is no result.
   */
  submit(batch: LedgerBatch): Promise<LedgerBatchAnswer> {
    return new Promise((resolve) => {
      this.#pending.push({ batch, resolve });
      this.#schedule();
    });
  }

  /**
   * Schedules the proposal for the end of this turn of the event loop, so that
   * batches which arrive in the same turn share an entry.
   */
  #schedule(): void {
    if (!this.#isScheduled && this.#inFlight < maximumEntriesInFlight) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#flush();
      });
    }
  }

  #flush(): void {
    while (
      this.#pending.length > 0 && this.#inFlight < maximumEntriesInFlight
    ) {
      void this.#proposeEntry(this.#takeNextEntry());
    }
  }

  #takeNextEntry(): PendingBatch[] {
    let operations = 0;
    let count = 0;
    for (const { batch } of this.#pending) {
      operations += batch.operations.length;
      if (count > 0 && operations > maximumOperationsPerEntry) {
        break;
      }
      count += 1;
    }
    return this.#pending.splice(0, count);
  }

  async #proposeEntry(entry: readonly PendingBatch[]): Promise<void> {
    this.#inFlight += 1;
    const proposed = await this.#propose(entry.map((each) => each.batch))
      .catch((error: Error) =>
        failed(createRefusal("outcome-unknown", error.message))
      );
    this.#inFlight -= 1;
    const answers = proposed.kind === "ok" && proposed.value?.$case === "ledger"
      ? proposed.value.ledger.answers
      : [];
    const refusal = proposed.kind === "error" ? proposed.error : createRefusal(
      "unsupported-format",
      "The leader does not support ledger commands",
    );
    entry.forEach(({ resolve }, position) =>
      resolve(
        answers[position] ??
          { formatVersion, refusal, index: 0, results: [] },
      )
    );
    if (this.#pending.length > 0) {
      this.#schedule();
    }
  }
}
