import type { Refusal } from "../protocol/generated/common.ts";
import type { ControlResult } from "../protocol/generated/control.ts";
import type {
  LedgerBatch,
  LedgerBatchAnswer,
} from "../protocol/generated/ledger.ts";
import { failed, type Result } from "../common/mod.ts";
import { formatVersion } from "./control_state_machine.ts";
import { createRefusal } from "./refusal.ts";

/** Operations in one log entry; later batches wait for the next entry. */
export const operationsPerEntry = 2000;
/** Entries that are proposed and not yet answered. */
export const entriesInFlight = 4;

/** Proposes the batches of one entry. */
export type ProposeBatches = (
  batches: LedgerBatch[],
) => Promise<Result<ControlResult["result"], Refusal>>;

interface Waiting {
  readonly batch: LedgerBatch;
  readonly resolve: (answer: LedgerBatchAnswer) => void;
}

/** Puts batches of several nodes that arrive together into one log entry. */
export class LedgerBatcher {
  readonly #propose: ProposeBatches;
  #waiting: Waiting[] = [];
  #inFlight = 0;
  #isScheduled = false;

  /**
   * @param propose Proposes one entry.
   */
  constructor(propose: ProposeBatches) {
    this.#propose = propose;
  }

  /**
   * Submits the batch of a node.
   * @param batch The batch.
   * @returns Its answer, with a refusal when there is no result.
   */
  submit(batch: LedgerBatch): Promise<LedgerBatchAnswer> {
    return new Promise((resolve) => {
      this.#waiting.push({ batch, resolve });
      this.#schedule();
    });
  }

  /** Waits for the batches that arrive in the same turn of the event loop. */
  #schedule(): void {
    if (!this.#isScheduled && this.#inFlight < entriesInFlight) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#flush();
      });
    }
  }

  #flush(): void {
    while (this.#waiting.length > 0 && this.#inFlight < entriesInFlight) {
      void this.#proposeEntry(this.#takeEntry());
    }
  }

  #takeEntry(): Waiting[] {
    let operations = 0;
    let count = 0;
    for (const { batch } of this.#waiting) {
      operations += batch.operations.length;
      if (count > 0 && operations > operationsPerEntry) {
        break;
      }
      count += 1;
    }
    return this.#waiting.splice(0, count);
  }

  async #proposeEntry(entry: readonly Waiting[]): Promise<void> {
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
      "The leader does not know ledger commands",
    );
    entry.forEach(({ resolve }, position) =>
      resolve(
        answers[position] ??
          { formatVersion, refusal, index: 0, results: [] },
      )
    );
    if (this.#waiting.length > 0) {
      this.#schedule();
    }
  }
}
