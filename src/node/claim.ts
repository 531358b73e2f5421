import { randomUUID } from "node:crypto";
import type { Disposition, RefusalReason } from "../request/mod.ts";
import type { ResponseHead } from "./exchange.ts";
import type {
  ClaimDenial,
  ClaimOutcome,
  LedgerAnswer,
  LedgerPort,
} from "./ledger_port.ts";

/** Receives the outcome of a claim; at most one method is called. */
export interface ClaimEvents {
  onGranted(): void;
  onRefused(disposition: Disposition, reason: RefusalReason): void;
  /** The request ran before, and its response is held. */
  onStoredResponse(head: ResponseHead, body: Buffer): void;
}

/** What is claimed. */
export interface ClaimRequest {
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly entryIndex: number;
  readonly deadlineMilliseconds: number;
  readonly events: ClaimEvents;
}

const denials: Readonly<
  Record<ClaimDenial, { disposition: Disposition; reason: RefusalReason }>
> = {
  "claim-ran": { disposition: "ran", reason: "claim-ran" },
  "claim-in-progress": { disposition: "unknown", reason: "claim-in-progress" },
  "claim-unknown": { disposition: "unknown", reason: "claim-unknown" },
  "claim-superseded": { disposition: "not-run", reason: "claim-superseded" },
  "claim-released": { disposition: "not-run", reason: "claim-superseded" },
  "key-conflict": { disposition: "not-run", reason: "key-conflict" },
  "ledger-full": { disposition: "not-run", reason: "ledger-full" },
};

/** The claim of one attempt of a call with a key. */
export class Claim {
  readonly #ledger: LedgerPort;
  readonly #request: ClaimRequest;
  readonly #claimId = randomUUID();
  #isAbandoned = false;
  #isGranted = false;

  /**
   * Sends the claim.
   * @param ledger The ledger.
   * @param request What is claimed and who receives the outcome.
   */
  constructor(ledger: LedgerPort, request: ClaimRequest) {
    this.#ledger = ledger;
    this.#request = request;
    const { service, key, fingerprint, entryIndex, deadlineMilliseconds } =
      request;
    ledger.claim({
      service,
      key,
      fingerprint,
      entryIndex,
      deadlineMilliseconds,
      claimId: this.#claimId,
    }).then((outcome) => this.#onOutcome(outcome));
  }

  /** Gives up a call that was not dispatched; a claim is released. */
  abandon(): void {
    this.#isAbandoned = true;
    if (this.#isGranted) {
      this.release();
    }
  }

  /** Releases the claim of a call that did not run. */
  release(): Promise<void> {
    const { service, key } = this.#request;
    return this.#ledger.release({ service, key, claimId: this.#claimId });
  }

  /**
   * Records that the call ran.
   * @param head The response.
   * @param body Its body; `undefined` when it was streamed and is not held.
   */
  complete(head: ResponseHead, body: Buffer | undefined): void {
    const { service, key } = this.#request;
    const answer = body && { status: head.status, headers: head.headers, body };
    // Without the record, a later send is told "unknown" and does not run.
    this.#ledger.complete({ service, key, claimId: this.#claimId, answer });
  }

  #onOutcome(outcome: ClaimOutcome): void {
    const { events } = this.#request;
    switch (outcome.kind) {
      case "granted":
        this.#isGranted = true;
        if (this.#isAbandoned) {
          this.release();
        } else {
          events.onGranted();
        }
        return;
      case "unavailable":
        if (!this.#isAbandoned) {
          events.onRefused("not-run", "ledger-unavailable");
        }
        return;
      case "denied":
        if (this.#isAbandoned) {
          return;
        }
        if (outcome.answer !== undefined) {
          const { head, body } = createStoredResponse(outcome.answer);
          events.onStoredResponse(head, body);
        } else {
          const { disposition, reason } = denials[outcome.reason];
          events.onRefused(disposition, reason);
        }
    }
  }
}

/**
 * Creates the response that the ledger holds.
 * @param answer What the ledger returned.
 * @returns Head and body, as from the target.
 */
export function createStoredResponse(
  answer: LedgerAnswer,
): { head: ResponseHead; body: Buffer } {
  return {
    head: {
      status: answer.status,
      statusMessage: "",
      headers: [...answer.headers],
      contentLength: answer.body.length,
      isChunked: false,
      answer: undefined,
      keepAliveSeconds: -1,
    },
    body: Buffer.from(answer.body),
  };
}
