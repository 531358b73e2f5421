/**
 * State of a target. `left` was announced; `expired` means that the lease of
 * its node ran out.
 */
export type TargetState = "ready" | "draining" | "left" | "expired";

/** What identifies a target and its state. Records are never changed. */
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
}

/** A target as it is sent, with its age because clocks differ. */
export interface TargetRecord extends TargetAttributes {
  /** Time since the target became ready, in milliseconds, when sent. */
  readonly ageMilliseconds: number;
}

/** A target as it is kept. */
export interface KnownTarget extends TargetAttributes {
  /** When the target became ready, on this process's monotonic clock. */
  readonly readyAtMilliseconds: number;
}

/**
 * Converts a record that arrived into one to keep.
 * @param record The record.
 * @param now Monotonic time in milliseconds.
 */
export function toKnownTarget(record: TargetRecord, now: number): KnownTarget {
  const { ageMilliseconds, ...facts } = record;
  return { ...facts, readyAtMilliseconds: now - ageMilliseconds };
}

/**
 * Converts a kept record into one to send.
 * @param target The kept record.
 * @param now Monotonic time in milliseconds.
 */
export function toTargetRecord(target: KnownTarget, now: number): TargetRecord {
  const { readyAtMilliseconds, ...facts } = target;
  // The field has 32 bits on the wire.
  const age = Math.round(now - readyAtMilliseconds);
  return { ...facts, ageMilliseconds: Math.min(Math.max(age, 0), 2 ** 31) };
}

// An instance that sees a lease run out marks the record as expired under the
// sequence it knows, so at equal sequences the record closer to the end wins.
const stateRanks: Record<TargetState, number> = {
  ready: 0,
  draining: 1,
  expired: 2,
  left: 3,
};

/**
 * Compares two records of the same target by age. The order is total, so
 * instances that hear the same records in any order keep the same one.
 *
 * A target that left never returns under the same incarnation, whatever the
 * sequence of an announcement that arrives late.
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
    a.sequence - b.sequence ||
    stateRanks[a.state] - stateRanks[b.state] ||
    compareText(a.nodeId, b.nodeId) ||
    compareText(a.nodeAddress, b.nodeAddress);
}

/** Gets whether a target may appear in views. */
export function isLiveTarget(record: TargetAttributes): boolean {
  return record.state === "ready" || record.state === "draining";
}

/** Gets the key of a target over all environments. */
export function getTargetKey(
  record: Pick<TargetAttributes, "environment" | "targetId">,
): string {
  return `${record.environment}\0${record.targetId}`;
}

/** Gets the text by which two copies of a target record are compared. */
export function getTargetVersion(record: TargetAttributes): string {
  return `${record.targetId}\0${record.incarnation}\0${record.sequence}\0${record.state}`;
}

/** Compares two texts by code units, the same on every machine. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/**
 * Checks a record that arrived.
 * @param record The fields of the message.
 * @returns The record, or `undefined` when its state or identity is unknown.
 */
export function parseTargetRecord(
  record: Omit<TargetRecord, "state"> & { readonly state: string },
): TargetRecord | undefined {
  const { state, targetId } = record;
  return targetId !== "" && isTargetState(state)
    ? { ...record, state }
    : undefined;
}

function isTargetState(text: string): text is TargetState {
  return Object.hasOwn(stateRanks, text);
}
