import { randomUUID } from "node:crypto";
import type { Disposition, RefusalReason } from "../request/mod.ts";
import type { ResponseHead } from "./exchange.ts";
import type {
  ClaimDenial,
  ClaimOutcome,
  LedgerAnswer,
  LedgerPort,
} from "./ledger_port.ts";

/** Receives the outcome of a claim. At most one method is called. */
export interface ClaimEvents {
  onGranted(): void;
  onRefused(disposition: Disposition, reason: RefusalReason): void;
  /** The request ran before, and the ledger has its response. */
  onStoredResponse(head: ResponseHead, body: Buffer): void;
}

/** The key to claim, and the receiver of the outcome. */
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

/** The claim of an idempotency key in the ledger for one attempt of a call. */
export class Claim {
  readonly #ledger: LedgerPort;
  readonly #request: ClaimRequest;
  readonly #claimId = randomUUID();
  #isAbandoned = false;
  #isGranted = false;

  /**
   * Sends the claim to the ledger.
   * @param ledger The ledger.
   * @param request The key and the receiver of the outcome.
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

  /**
   * Abandons the claim of a call that was cancelled before its dispatch. The
   * claim is released, now or when it is granted.
   */
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
   * Records in the ledger that the call ran.
   * @param head Status and headers of the response.
   * @param body Body of the response; `undefined` when it was streamed.
   */
  complete(head: ResponseHead, body: Buffer | undefined): void {
    const { service, key } = this.#request;
    const answer = body && { status: head.status, headers: head.headers, body };
    // Not awaited: without the record, a resend gets "unknown" but never runs.
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
 * Creates a response from an answer that is stored in the ledger.
 * @param answer The stored answer.
 * @returns Head and body, in the form of a response of the target.
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
      hasUnknownCoding: false,
      answer: undefined,
      serviceTime: undefined,
      keepAliveSeconds: -1,
      hasInvalidName: false,
      isFirstOnConnection: true,
    },
    body: Buffer.from(answer.body),
  };
}
