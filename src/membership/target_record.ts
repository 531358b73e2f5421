/**
 * State of a target. `left` was announced; `expired` means that the lease of
 * its node ran out.
 */
export type TargetState = "ready" | "draining" | "left" | "expired";

/** Identity and state of a target. Records are immutable. */
export interface TargetAttributes {
  readonly targetId: string;
  readonly environment: string;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly nodeAddress: string;
  /** Start of the target in milliseconds since the epoch; larger is newer. */
  readonly incarnation: number;
  /** Order of the records of one incarnation; larger is newer. */
  readonly sequence: number;
  readonly state: TargetState;
  readonly nodeId: string;
  /**
   * Incarnation of the target that was drained, as the target reported it; 0 for
   * none. Survives a restart of the target's node.
   */
  readonly drainedIncarnation: number;
}

/**
 * Target record as it is sent. Carries an age instead of a time, because the
 * clocks of the machines differ.
 */
export interface TargetRecord extends TargetAttributes {
  /** Time since the target became ready, in milliseconds, when sent. */
  readonly ageMilliseconds: number;
}

/** Target record as this process stores it. */
export interface KnownTarget extends TargetAttributes {
  /** When the target became ready, on this process's monotonic clock. */
  readonly readyAtMilliseconds: number;
}

/**
 * Converts a received record to the form in which it is stored.
 * @param record The received record.
 * @param now Monotonic time in milliseconds.
 */
export function toKnownTarget(record: TargetRecord, now: number): KnownTarget {
  const { ageMilliseconds, ...attributes } = record;
  return { ...attributes, readyAtMilliseconds: now - ageMilliseconds };
}

/**
 * Converts a stored record to the form in which it is sent.
 * @param target The stored record.
 * @param now Monotonic time in milliseconds.
 */
export function toTargetRecord(target: KnownTarget, now: number): TargetRecord {
  const { readyAtMilliseconds, ...attributes } = target;
  // The field has 32 bits on the wire.
  const age = Math.round(now - readyAtMilliseconds);
  return {
    ...attributes,
    ageMilliseconds: Math.min(Math.max(age, 0), 2 ** 31),
  };
}

// Orders records of equal sequence. An instance that expires a target keeps the
// sequence of the last record that it knows, so the record whose state is later
// in the life of the target must win.
const stateRanks: Record<TargetState, number> = {
  ready: 0,
  draining: 1,
  expired: 2,
  left: 3,
};

/**
 * Compares two records of the same target by age. The order is total, so
 * instances that receive the same records in any order keep the same one.
 *
 * Within an incarnation `left` is final: a delayed announcement does not revive
 * the target, even if its sequence is higher. A drain is final, too: the node of
 * the target may have restarted and announce it without knowing of the drain.
 * @param a A record.
 * @param b Another record of the same target.
 * @returns A positive number when `a` is newer, 0 when they are the same.
 */
export function compareTargets(
  a: TargetAttributes,
  b: TargetAttributes,
): number {
  return a.incarnation - b.incarnation ||
    Number(a.state === "left") - Number(b.state === "left") ||
    Number(isDrained(a)) - Number(isDrained(b)) ||
    a.sequence - b.sequence ||
    stateRanks[a.state] - stateRanks[b.state] ||
    compareText(a.nodeId, b.nodeId) ||
    compareText(a.nodeAddress, b.nodeAddress);
}

/**
 * Gets whether a record announces a target that was drained before as if it had
 * not been. Its node has restarted since and does not know. An earlier start than
 * the drained one counts, too: its announcement is late.
 * @param record The announced record.
 * @param known The record that is known of the same target.
 */
export function isForgottenDrain(
  record: TargetAttributes,
  known: TargetAttributes,
): boolean {
  return known.drainedIncarnation !== 0 &&
    record.drainedIncarnation !== known.drainedIncarnation &&
    (record.incarnation === known.drainedIncarnation ||
      (isDrained(known) && record.incarnation < known.incarnation));
}

/** Gets whether the incarnation of a record was drained. */
export function isDrained(record: TargetAttributes): boolean {
  return record.drainedIncarnation !== 0 &&
    record.incarnation === record.drainedIncarnation;
}

/** Gets whether a target may appear in views. */
export function isLiveTarget(record: TargetAttributes): boolean {
  return record.state === "ready" || record.state === "draining";
}

/** Gets a key that identifies a target across all environments. */
export function getTargetKey(
  record: Pick<TargetAttributes, "environment" | "targetId">,
): string {
  return `${record.environment}\0${record.targetId}`;
}

/** Gets a text that identifies one version of a target record. */
export function getTargetVersion(record: TargetAttributes): string {
  return `${record.targetId}\0${record.incarnation}\0${record.sequence}\0${record.state}`;
}

/** Compares two texts by code units, independent of the locale. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/**
 * Validates a received record.
 * @param record The fields of the message.
 * @returns The record, or `undefined` when its state is unknown, it has no id, or
 * one of its numbers cannot be sent.
 */
export function parseTargetRecord(
  record: Omit<TargetRecord, "state"> & { readonly state: string },
): TargetRecord | undefined {
  const { state, targetId } = record;
  return targetId !== "" && isTargetState(state) && hasSendableNumbers(record)
    ? { ...record, state }
    : undefined;
}

/** Reports whether the wire can hold each number of a record. */
function hasSendableNumbers(
  record: Omit<TargetRecord, "state">,
): boolean {
  const { incarnation, sequence, drainedIncarnation, ageMilliseconds } = record;
  return [incarnation, sequence, drainedIncarnation].every((each) =>
    Number.isSafeInteger(each) && each >= 0
  ) && isUint32(ageMilliseconds);
}

function isUint32(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < 2 ** 32;
}

function isTargetState(text: string): text is TargetState {
  return Object.hasOwn(stateRanks, text);
}
