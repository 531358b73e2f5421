import type {
  ClearQuarantine,
  Quarantine,
  QuarantineEntry,
  QuarantineResult,
} from "../protocol/generated/control.ts";
import type { EntryTime } from "./document_history.ts";

/** Maximum number of fingerprints in quarantine, over all environments. */
export const quarantineLimit = 10_000;

/**
 * Keeps the quarantined fingerprints of requests that crash targets.
 * Deterministic on all instances, because the time comes from the log entries.
 */
export class QuarantineList {
  readonly #entries = new Map<string, QuarantineEntry>();

  /**
   * Adds a fingerprint, or extends its quarantine. The first quarantine of a
   * fingerprint is shorter, and a trial follows it: the request runs alone, and
   * is quarantined for the whole time if it crashes a target once more.
   * @param command The fingerprint and the length of its quarantine.
   * @param entry The log entry.
   * @returns The number of changed entries, and whether the list is full.
   */
  add(command: Quarantine, entry: EntryTime): QuarantineResult {
    this.#removeExpired(entry.time);
    const key = getKey(command);
    const known = this.#entries.get(key);
    if (known === undefined && this.#entries.size >= quarantineLimit) {
      return { changed: 0, isFull: true };
    }
    const now = Math.max(0, entry.time.getTime());
    const { seconds } = command;
    // Several instances may report the crash that led to a quarantine.
    const isOnTrial = known !== undefined && known.untilMilliseconds <= now;
    const firstSeconds = command.firstSeconds === 0
      ? seconds
      : Math.min(command.firstSeconds, seconds);
    const lengthSeconds = isOnTrial ? seconds : firstSeconds;
    const untilMilliseconds = Math.max(
      known?.untilMilliseconds ?? 0,
      now + lengthSeconds * 1000,
    );
    this.#entries.set(key, {
      environment: command.environment,
      fingerprint: command.fingerprint,
      sinceMilliseconds: known?.sinceMilliseconds ?? now,
      untilMilliseconds,
      trialUntilMilliseconds: lengthSeconds < seconds
        ? untilMilliseconds + seconds * 1000
        : 0,
      reason: command.reason,
      reportedBy: command.reportedBy,
    });
    return { changed: 1, isFull: false };
  }

  /**
   * Removes one fingerprint of an environment, or all of them.
   * @param command The fingerprint, empty for all.
   * @returns The number of removed entries.
   */
  clear(command: ClearQuarantine): QuarantineResult {
    let changed = 0;
    for (const [key, each] of this.#entries) {
      const isMatch = each.environment === command.environment &&
        (command.fingerprint === "" ||
          command.fingerprint === each.fingerprint);
      if (isMatch) {
        this.#entries.delete(key);
        changed += 1;
      }
    }
    return { changed, isFull: false };
  }

  /**
   * Gets the entries of an environment that have not expired.
   * @param environment Its name.
   * @param now The current time.
   * @returns The entries, oldest first.
   */
  getEntries(environment: string, now: Date): QuarantineEntry[] {
    return [...this.#entries.values()].filter((each) =>
      each.environment === environment &&
      each.untilMilliseconds > now.getTime()
    );
  }

  /**
   * Gets the entries of an environment whose quarantine has ended and that are on
   * trial.
   * @param environment Its name.
   * @param now The current time.
   * @returns The entries, oldest first.
   */
  getTrials(environment: string, now: Date): QuarantineEntry[] {
    return [...this.#entries.values()].filter((each) =>
      each.environment === environment &&
      each.untilMilliseconds <= now.getTime() &&
      each.trialUntilMilliseconds > now.getTime()
    );
  }

  /**
   * Gets the entries of an environment that are in quarantine or on trial.
   * @param environment Its name.
   * @param now The current time.
   * @returns The entries, oldest first.
   */
  getEntriesAndTrials(environment: string, now: Date): QuarantineEntry[] {
    return [
      ...this.getEntries(environment, now),
      ...this.getTrials(environment, now),
    ].toSorted((a, b) => a.sinceMilliseconds - b.sinceMilliseconds);
  }

  /** Takes a snapshot of the state; equal states give equal snapshots. */
  takeSnapshot(): QuarantineEntry[] {
    return [...this.#entries.values()];
  }

  /** Replaces the state with that of a snapshot. */
  restoreSnapshot(entries: readonly QuarantineEntry[]): void {
    this.#entries.clear();
    for (const each of entries) {
      this.#entries.set(getKey(each), each);
    }
  }

  #removeExpired(now: Date): void {
    for (const [key, each] of this.#entries) {
      const endMilliseconds = Math.max(
        each.untilMilliseconds,
        each.trialUntilMilliseconds,
      );
      if (endMilliseconds <= now.getTime()) {
        this.#entries.delete(key);
      }
    }
  }
}

function getKey(entry: { environment: string; fingerprint: string }): string {
  return `${entry.environment} ${entry.fingerprint}`;
}
