import type { AdmissionEntry, AdmissionQueue } from "./admission_queue.ts";

/** Time that a suspect waits before calls of its class wait for it. */
const waitMilliseconds = 250;
/**
 * Time between two turns, as a multiple of the time that the former took. Other
 * calls wait while a target finishes its running calls and runs a suspect alone.
 */
const pauseFactor = 4;

/**
 * Decides when a queued suspect has its turn. Suspects wait behind the other
 * calls of their class, and start only while no call runs; a target that is always
 * in use would never run them.
 */
export class SuspectTurns {
  /** Monotonic time at which other calls started to wait for a suspect. */
  #turnStartMilliseconds: number | undefined;
  #nextTurnMilliseconds = 0;

  /**
   * Gets the suspect that runs next, before the other calls of its class.
   * @param queue The queued calls.
   * @param now Monotonic time in milliseconds.
   * @returns The suspect; `undefined` when none of the most important class that
   * waits is due.
   */
  getDue(queue: AdmissionQueue, now: number): AdmissionEntry | undefined {
    const suspect = getFirstSuspect(queue);
    if (
      suspect === undefined || now < this.#nextTurnMilliseconds ||
      now - suspect.offeredMilliseconds < waitMilliseconds
    ) {
      return undefined;
    }
    this.#turnStartMilliseconds ??= now;
    return suspect;
  }

  /** Records that a suspect that ran alone has ended. */
  onFinished(now: number): void {
    const start = this.#turnStartMilliseconds;
    if (start !== undefined) {
      this.#turnStartMilliseconds = undefined;
      this.#nextTurnMilliseconds = now + pauseFactor * (now - start);
    }
  }
}

/** Gets the first suspect among the calls of the most important class. */
function getFirstSuspect(queue: AdmissionQueue): AdmissionEntry | undefined {
  const classIndex = queue.at(0)?.classIndex;
  if (classIndex === undefined) {
    return undefined;
  }
  let suspect: AdmissionEntry | undefined;
  for (let index = queue.getClassCount(classIndex) - 1; index >= 0; index--) {
    const entry = queue.at(index);
    if (entry?.isSuspect !== true) {
      break;
    }
    suspect = entry;
  }
  return suspect;
}
