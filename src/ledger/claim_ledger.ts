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

/** Time after its deadline in which a claim may still be completed. */
export const completionGraceMilliseconds = 2000;
/** Longest time for an attempt; the same as the longest route deadline. */
export const maximumDeadlineMilliseconds = 600_000;
/** A claim must outlive its deadline, whatever the document says. */
const shortestRetentionMilliseconds = 2 * maximumDeadlineMilliseconds;

/** A committed batch. */
export interface LedgerEntry {
  /** Index in the replicated log. */
  readonly index: number;
  readonly time: Date;
  readonly batch: LedgerBatch;
}

/** What the ledger of an environment holds. */
export interface LedgerUsage {
  /** Records: claims, fences and tombstones. */
  readonly records: number;
  readonly answerBytes: number;
}

/**
 * Gets the limits of an environment; `undefined` when it has no document.
 */
export type GetLedgerLimits = (
  environment: string,
) => LedgerLimits | undefined;

/**
 * Keeps the claims of idempotency keys. Deterministic: time and index come
 * with each entry, and a time before that of an earlier entry counts as the
 * earlier one.
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
   * Applies a batch, operation by operation.
   * @param entry The batch with its index and time.
   * @returns A result for each operation, or one refusal for all.
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
    const moment = { index, now: this.#now, limits };
    ledger.removeExpired(moment);
    const results: LedgerResult[] = [];
    for (const operation of batch.operations) {
      results.push(ledger.apply(operation, moment));
    }
    return { formatVersion: 1, refusal: undefined, index, results };
  }

  /** Gets what the ledger of an environment holds. */
  getUsage(environment: string): LedgerUsage {
    const ledger = this.#ledgers.get(environment);
    return {
      records: ledger?.table.size ?? 0,
      answerBytes: ledger?.answers.bytes ?? 0,
    };
  }

  /** Takes a copy of the state; equal states give equal copies. */
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

  /** Replaces the state with a copy. */
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

interface Moment {
  readonly index: number;
  readonly now: number;
  readonly limits: LedgerLimits;
}

interface Scope {
  readonly slot: number;
  readonly key: Digest;
  readonly operation: LedgerOperation;
}

type KeyStatus = "absent" | "claimed" | "completed" | "unknown";

class EnvironmentLedger {
  readonly table = new ClaimTable();
  readonly answers = new HeldAnswers();
  /**
   * Entry index below which every claim is refused. It rises when a fence or
   * a tombstone finds no room.
   */
  fenceFloor = 0;

  /** Drops records and answers whose time has passed. */
  removeExpired({ now, limits }: Moment): void {
    const retention = Math.max(
      limits.retentionSeconds * 1000,
      shortestRetentionMilliseconds,
    );
    let oldest = this.table.oldest;
    while (oldest >= 0 && this.table.getChanged(oldest) + retention <= now) {
      this.answers.remove(oldest);
      this.table.remove(oldest);
      oldest = this.table.oldest;
    }
    this.answers.removeUntil(now - limits.answerSeconds * 1000);
  }

  apply(operation: LedgerOperation, moment: Moment): LedgerResult {
    const key = getDigest("key", operation.service, operation.key);
    const scope = { slot: this.table.find(key), key, operation };
    return match(operation.operation)
      .with(
        { $case: "claim" },
        ({ claim }) => this.#claim(claim, scope, moment),
      )
      .with(
        { $case: "complete" },
        ({ complete }) => this.#complete(complete, scope, moment),
      )
      .with(
        { $case: "release" },
        ({ release }) => this.#release(release, scope, moment),
      )
      .with({ $case: "fence" }, () => this.#fence(scope, moment))
      .with({ $case: "lookup" }, () => this.#lookUp(scope, moment))
      .with(undefined, () => deny("unsupported-operation"))
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

  #claim(claim: Claim, scope: Scope, moment: Moment): LedgerResult {
    const { key, operation } = scope;
    const claimId = getClaimDigest(operation, claim.claimId);
    const fingerprint = getDigest(claim.fingerprint);
    if (this.table.find(claimId) >= 0) {
      return deny("claim-released");
    }
    const status = this.#getStatus(scope.slot, moment.now);
    if (status !== "absent") {
      return this.table.hasFingerprint(scope.slot, fingerprint)
        ? this.#denyTaken(status, scope.slot)
        : deny("key-conflict");
    }
    const fence = scope.slot < 0 ? 0 : this.table.getFence(scope.slot);
    if (claim.entryIndex < Math.max(fence, this.fenceFloor)) {
      return deny("claim-superseded");
    }
    if (this.table.size >= moment.limits.maximumClaims) {
      return deny("ledger-full");
    }
    const slot = this.#insertOrTouch(scope, key, moment.now);
    this.table.setState(slot, recordState.claimed);
    this.table.setHolder(slot, claimId);
    this.table.setFingerprint(slot, fingerprint);
    this.table.setDeadline(
      slot,
      moment.now + completionGraceMilliseconds +
        Math.min(claim.deadlineMilliseconds, maximumDeadlineMilliseconds),
    );
    return { result: { $case: "granted", granted: {} } };
  }

  #denyTaken(status: KeyStatus, slot: number): LedgerResult {
    return status === "completed"
      ? deny("claim-ran", this.answers.get(slot))
      : deny(status === "claimed" ? "claim-in-progress" : "claim-unknown");
  }

  #complete(complete: Complete, scope: Scope, moment: Moment): LedgerResult {
    const { slot, operation } = scope;
    const claimId = getClaimDigest(operation, complete.claimId);
    const status = this.#getStatus(slot, moment.now);
    if (status === "absent" || !this.table.isHeldBy(slot, claimId)) {
      return deny(
        this.table.find(claimId) >= 0 ? "claim-released" : "claim-unknown",
      );
    }
    if (status === "completed") {
      return accepted;
    }
    this.table.setState(slot, recordState.completed);
    this.table.touch(slot, moment.now);
    const { answer } = complete;
    const isHeld = answer !== undefined &&
      moment.limits.answerSeconds > 0 &&
      getAnswerBytes(answer) <= moment.limits.answerBytes;
    if (isHeld) {
      this.answers.add(slot, answer, moment.now);
    }
    return accepted;
  }

  #release(release: Release, scope: Scope, moment: Moment): LedgerResult {
    const { slot, operation } = scope;
    const claimId = getClaimDigest(operation, release.claimId);
    const status = this.#getStatus(slot, moment.now);
    if (this.table.find(claimId) >= 0) {
      return accepted;
    }
    if (status !== "absent" && this.table.isHeldBy(slot, claimId)) {
      if (status !== "claimed") {
        return this.#denyTaken(status, slot);
      }
      this.#freeKey(slot, moment.now);
    }
    this.#addTombstone(claimId, moment);
    return accepted;
  }

  /** Makes a claimed key absent; its fence stays. */
  #freeKey(slot: number, now: number): void {
    if (this.table.getFence(slot) === 0) {
      this.table.remove(slot);
    } else {
      this.table.setState(slot, recordState.fenced);
      this.table.touch(slot, now);
    }
  }

  /** Refuses the claim if it arrives later; it is not in the ledger now. */
  #addTombstone(claimId: Digest, moment: Moment): void {
    if (this.table.size >= moment.limits.maximumClaims) {
      this.fenceFloor = moment.index;
      return;
    }
    const slot = this.table.insert(claimId, moment.now);
    this.table.setState(slot, recordState.tombstone);
  }

  #fence(scope: Scope, moment: Moment): LedgerResult {
    const status = this.#getStatus(scope.slot, moment.now);
    if (status !== "absent") {
      return this.#describe(scope.slot, status);
    }
    const isFull = this.table.size >= moment.limits.maximumClaims;
    if (scope.slot < 0 && isFull) {
      this.fenceFloor = moment.index;
    } else {
      const slot = this.#insertOrTouch(scope, scope.key, moment.now);
      this.table.setFence(slot, moment.index);
    }
    return createKeyState("absent", { notRun: true });
  }

  #lookUp(scope: Scope, moment: Moment): LedgerResult {
    return this.#describe(
      scope.slot,
      this.#getStatus(scope.slot, moment.now),
    );
  }

  #describe(slot: number, status: KeyStatus): LedgerResult {
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

  #insertOrTouch(scope: Scope, key: Digest, now: number): number {
    if (scope.slot < 0) {
      return this.table.insert(key, now);
    }
    this.table.touch(scope.slot, now);
    return scope.slot;
  }
}

const accepted: LedgerResult = {
  result: { $case: "accepted", accepted: {} },
};

function deny(reason: string, answer?: HeldAnswer): LedgerResult {
  return { result: { $case: "denied", denied: { reason, answer } } };
}

function createKeyState(
  status: KeyStatus,
  options: { answer?: HeldAnswer | undefined; notRun: boolean },
): LedgerResult {
  const { answer, notRun } = options;
  return { result: { $case: "state", state: { status, answer, notRun } } };
}

/** The scope of a claim identity includes the key that it claims. */
function getClaimDigest(operation: LedgerOperation, claimId: string): Digest {
  const { service, key } = operation;
  return getDigest("claim", service, claimId, key);
}
