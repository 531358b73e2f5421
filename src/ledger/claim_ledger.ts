import { match } from "ts-pattern";
import type {
  LedgerLimits,
  LedgerSnapshot,
} from "../protocol/generated/control.ts";
import type {
  Claim,
  Complete,
  HeldAnswer,
  LedgerBatch,
  LedgerBatchAnswer,
  LedgerOperation,
  LedgerResult,
  Release,
} from "../protocol/generated/ledger.ts";
import {
  ClaimTable,
  type Digest,
  getDigest,
  recordState,
} from "./claim_table.ts";
import { getAnswerBytes, HeldAnswers } from "./held_answers.ts";

/** Time after its deadline during which a claim still counts as in progress. */
export const completionGraceMilliseconds = 2000;
/** Maximum deadline of a claim; equal to the maximum deadline of a route. */
export const maximumDeadlineMilliseconds = 600_000;
/** Minimum retention, so that a claim outlives its deadline for every document. */
const minimumRetentionMilliseconds = 2 * maximumDeadlineMilliseconds;

/** A committed batch with its index and time. */
export interface LedgerEntry {
  /** Index of the entry in the replicated log. */
  readonly index: number;
  readonly time: Date;
  readonly batch: LedgerBatch;
}

/** Number of records and memory of the ledger of an environment. */
export interface LedgerUsage {
  /** Number of records: claims, fences and tombstones. */
  readonly records: number;
  /** Memory of the held answers, in bytes. */
  readonly answerBytes: number;
}

/**
 * Gets the limits of an environment; `undefined` when it has no document.
 */
export type GetLedgerLimits = (
  environment: string,
) => LedgerLimits | undefined;

/**
 * Keeps the claims of idempotency keys. The state depends only on the entries,
 * so that it is the same on every instance: each entry brings its index and
 * time, and the time never runs backwards (an entry with an earlier time than its
 * predecessor is applied at the time of the predecessor).
 */
export class ClaimLedger {
  readonly #getLimits: GetLedgerLimits;
  readonly #ledgers = new Map<string, EnvironmentLedger>();
  #now = 0;

  /**
   * @param getLimits Gets the limits of an environment.
   */
  constructor(getLimits: GetLedgerLimits) {
    this.#getLimits = getLimits;
  }

  /**
   * Applies the operations of a batch in their order.
   * @param entry The batch with its index and time.
   * @returns A result for each operation, or one refusal for the whole batch.
   */
  apply(entry: LedgerEntry): LedgerBatchAnswer {
    const { index, batch } = entry;
    this.#now = Math.max(this.#now, entry.time.getTime());
    const limits = this.#getLimits(batch.environment);
    if (limits === undefined) {
      const refusal = {
        reason: "unknown-environment",
        message: `Environment "${batch.environment}" has no document`,
        controlAddresses: [],
      };
      return { formatVersion: 1, refusal, index, results: [] };
    }
    let ledger = this.#ledgers.get(batch.environment);
    if (ledger === undefined) {
      ledger = new EnvironmentLedger();
      this.#ledgers.set(batch.environment, ledger);
    }
    const context = { index, now: this.#now, limits };
    ledger.removeExpired(context);
    const results: LedgerResult[] = [];
    for (const operation of batch.operations) {
      results.push(ledger.apply(operation, context));
    }
    return { formatVersion: 1, refusal: undefined, index, results };
  }

  /** Gets the number of records and the memory of the ledger of an environment. */
  getUsage(environment: string): LedgerUsage {
    const ledger = this.#ledgers.get(environment);
    return {
      records: ledger?.table.size ?? 0,
      answerBytes: ledger?.answers.bytes ?? 0,
    };
  }

  /** Takes a snapshot of the state; equal states give equal snapshots. */
  takeSnapshot(): LedgerSnapshot {
    const names = [...this.#ledgers.keys()].sort();
    return {
      timeMilliseconds: this.#now,
      environments: names.map((environment) => {
        const ledger = this.#ledgers.get(environment) as EnvironmentLedger;
        return {
          environment,
          fenceFloor: ledger.fenceFloor,
          records: ledger.table.encode(),
          answers: ledger.getAnswerEntries(),
        };
      }),
    };
  }

  /** Replaces the state with that of a snapshot. */
  restoreSnapshot(snapshot: LedgerSnapshot): void {
    this.#ledgers.clear();
    this.#now = snapshot.timeMilliseconds;
    for (const each of snapshot.environments) {
      const ledger = new EnvironmentLedger();
      ledger.fenceFloor = each.fenceFloor;
      const slots = ledger.table.decode(each.records);
      for (const { record, heldSinceMilliseconds, answer } of each.answers) {
        const slot = slots[record];
        if (slot !== undefined && answer !== undefined) {
          ledger.answers.add(slot, answer, heldSinceMilliseconds);
        }
      }
      this.#ledgers.set(each.environment, ledger);
    }
  }
}

/** Index, time and limits at which an operation is applied. */
interface ApplyContext {
  readonly index: number;
  readonly now: number;
  readonly limits: LedgerLimits;
}

/** An operation with the digest and the slot of its key. */
interface KeyedOperation {
  /** Slot of the record of the key; -1 when there is none. */
  readonly slot: number;
  readonly key: Digest;
  readonly operation: LedgerOperation;
}

/**
 * Status of a key. It is `unknown` when a claim was not completed within its
 * deadline and the grace period: the call may or may not have run.
 */
type KeyStatus = "absent" | "claimed" | "completed" | "unknown";

class EnvironmentLedger {
  readonly table = new ClaimTable();
  readonly answers = new HeldAnswers();
  /**
   * Claims with an entry index below this one are refused, whatever their key.
   * When the ledger has no room for a fence or a tombstone, the floor rises to
   * the current index instead.
   */
  fenceFloor = 0;

  /** Removes records and answers after their retention time. */
  removeExpired({ now, limits }: ApplyContext): void {
    const retention = Math.max(
      limits.retentionSeconds * 1000,
      minimumRetentionMilliseconds,
    );
    let oldest = this.table.oldest;
    while (oldest >= 0 && this.table.getChangeTime(oldest) + retention <= now) {
      this.answers.remove(oldest);
      this.table.remove(oldest);
      oldest = this.table.oldest;
    }
    this.answers.removeHeldUntil(now - limits.answerSeconds * 1000);
  }

  apply(operation: LedgerOperation, context: ApplyContext): LedgerResult {
    const key = getDigest("key", operation.service, operation.key);
    const keyed = { slot: this.table.find(key), key, operation };
    return match(operation.operation)
      .with(
        { $case: "claim" },
        ({ claim }) => this.#claim(claim, keyed, context),
      )
      .with(
        { $case: "complete" },
        ({ complete }) => this.#complete(complete, keyed, context),
      )
      .with(
        { $case: "release" },
        ({ release }) => this.#release(release, keyed, context),
      )
      .with({ $case: "fence" }, () => this.#fence(keyed, context))
      .with({ $case: "lookup" }, () => this.#lookUp(keyed, context))
      .with(undefined, () => createDenial("unsupported-operation"))
      .exhaustive();
  }

  getAnswerEntries(): LedgerSnapshot["environments"][number]["answers"] {
    const positions = new Map<number, number>();
    let slot = this.table.oldest;
    for (let position = 0; slot >= 0; position++) {
      if (this.answers.get(slot) !== undefined) {
        positions.set(slot, position);
      }
      slot = this.table.getNext(slot);
    }
    return [...this.answers.getEntries()].map((each) => ({
      record: positions.get(each.slot) as number,
      heldSinceMilliseconds: each.heldSince,
      answer: each.answer,
    }));
  }

  #claim(
    claim: Claim,
    keyed: KeyedOperation,
    context: ApplyContext,
  ): LedgerResult {
    const { key, operation } = keyed;
    const claimId = getClaimDigest(operation, claim.claimId);
    const fingerprint = getDigest(claim.fingerprint);
    if (this.table.find(claimId) >= 0) {
      return createDenial("claim-released");
    }
    const status = this.#getStatus(keyed.slot, context.now);
    if (status !== "absent") {
      return this.table.hasFingerprint(keyed.slot, fingerprint)
        ? this.#denyExistingClaim(status, keyed.slot)
        : createDenial("key-conflict");
    }
    const fence = keyed.slot < 0 ? 0 : this.table.getFence(keyed.slot);
    if (claim.entryIndex < Math.max(fence, this.fenceFloor)) {
      return createDenial("claim-superseded");
    }
    if (this.table.size >= context.limits.maximumClaims) {
      return createDenial("ledger-full");
    }
    const slot = this.#insertOrTouch(keyed, key, context.now);
    this.table.setState(slot, recordState.claimed);
    this.table.setHolder(slot, claimId);
    this.table.setFingerprint(slot, fingerprint);
    this.table.setDeadline(
      slot,
      context.now + completionGraceMilliseconds +
        Math.min(claim.deadlineMilliseconds, maximumDeadlineMilliseconds),
    );
    return { result: { $case: "granted", granted: {} } };
  }

  #denyExistingClaim(status: KeyStatus, slot: number): LedgerResult {
    return status === "completed"
      ? createDenial("claim-ran", this.answers.get(slot))
      : createDenial(
        status === "claimed" ? "claim-in-progress" : "claim-unknown",
      );
  }

  #complete(
    complete: Complete,
    keyed: KeyedOperation,
    context: ApplyContext,
  ): LedgerResult {
    const { slot, operation } = keyed;
    const claimId = getClaimDigest(operation, complete.claimId);
    const status = this.#getStatus(slot, context.now);
    if (status === "absent" || !this.table.isHeldBy(slot, claimId)) {
      return createDenial(
        this.table.find(claimId) >= 0 ? "claim-released" : "claim-unknown",
      );
    }
    if (status === "completed") {
      return accepted;
    }
    this.table.setState(slot, recordState.completed);
    this.table.touch(slot, context.now);
    const { answer } = complete;
    const isHeld = answer !== undefined &&
      context.limits.answerSeconds > 0 &&
      getAnswerBytes(answer) <= context.limits.answerBytes;
    if (isHeld) {
      this.answers.add(slot, answer, context.now);
    }
    return accepted;
  }

  #release(
    release: Release,
    keyed: KeyedOperation,
    context: ApplyContext,
  ): LedgerResult {
    const { slot, operation } = keyed;
    const claimId = getClaimDigest(operation, release.claimId);
    const status = this.#getStatus(slot, context.now);
    if (this.table.find(claimId) >= 0) {
      return accepted;
    }
    if (status !== "absent" && this.table.isHeldBy(slot, claimId)) {
      if (status !== "claimed") {
        return this.#denyExistingClaim(status, slot);
      }
      this.#releaseKey(slot, context.now);
    }
    this.#addTombstone(claimId, context);
    return accepted;
  }

  /** Removes the claim of a key; a fence of the key stays. */
  #releaseKey(slot: number, now: number): void {
    if (this.table.getFence(slot) === 0) {
      this.table.remove(slot);
    } else {
      this.table.setState(slot, recordState.fenced);
      this.table.touch(slot, now);
    }
  }

  /**
   * Adds a tombstone, which refuses a claim that arrives after its release.
   */
  #addTombstone(claimId: Digest, context: ApplyContext): void {
    if (this.table.size >= context.limits.maximumClaims) {
      this.fenceFloor = context.index;
      return;
    }
    const slot = this.table.insert(claimId, context.now);
    this.table.setState(slot, recordState.tombstone);
  }

  /**
   * Fences a key without a claim: claims with an entry index below that of this
   * operation are refused from now on, so the key is reported as not run.
   */
  #fence(keyed: KeyedOperation, context: ApplyContext): LedgerResult {
    const status = this.#getStatus(keyed.slot, context.now);
    if (status !== "absent") {
      return this.#createStateResult(keyed.slot, status);
    }
    const isFull = this.table.size >= context.limits.maximumClaims;
    if (keyed.slot < 0 && isFull) {
      this.fenceFloor = context.index;
    } else {
      const slot = this.#insertOrTouch(keyed, keyed.key, context.now);
      this.table.setFence(slot, context.index);
    }
    return createKeyState("absent", { notRun: true });
  }

  #lookUp(keyed: KeyedOperation, context: ApplyContext): LedgerResult {
    return this.#createStateResult(
      keyed.slot,
      this.#getStatus(keyed.slot, context.now),
    );
  }

  #createStateResult(slot: number, status: KeyStatus): LedgerResult {
    const isFenced = slot >= 0 && this.table.getFence(slot) > 0;
    return createKeyState(status, {
      answer: status === "completed" ? this.answers.get(slot) : undefined,
      notRun: status === "absent" && isFenced,
    });
  }

  #getStatus(slot: number, now: number): KeyStatus {
    if (slot < 0) {
      return "absent";
    }
    const state = this.table.getState(slot);
    if (state === recordState.completed) {
      return "completed";
    }
    if (state !== recordState.claimed) {
      return "absent";
    }
    return now < this.table.getDeadline(slot) ? "claimed" : "unknown";
  }

  #insertOrTouch(keyed: KeyedOperation, key: Digest, now: number): number {
    if (keyed.slot < 0) {
      return this.table.insert(key, now);
    }
    this.table.touch(keyed.slot, now);
    return keyed.slot;
  }
}

const accepted: LedgerResult = {
  result: { $case: "accepted", accepted: {} },
};

function createDenial(reason: string, answer?: HeldAnswer): LedgerResult {
  return { result: { $case: "denied", denied: { reason, answer } } };
}

function createKeyState(
  status: KeyStatus,
  options: { answer?: HeldAnswer | undefined; notRun: boolean },
): LedgerResult {
  const { answer, notRun } = options;
  return { result: { $case: "state", state: { status, answer, notRun } } };
}

/**
 * Gets the digest of a claim identity. It includes the service and the key, so
 * that the same identity under another key is another claim.
 */
function getClaimDigest(operation: LedgerOperation, claimId: string): Digest {
  const { service, key } = operation;
  return getDigest("claim", service, claimId, key);
}
