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
  /** The suspect that other calls wait for, and the time since which they do. */
  #turn:
    | { readonly suspect: AdmissionEntry; readonly start: number }
    | undefined;
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
    if (this.#turn?.suspect !== suspect) {
      this.#turn = { suspect, start: now };
    }
    return suspect;
  }

  /**
   * Records that a call has ended, or left the queue without having run.
   * @param entry The call.
   * @param now Monotonic time in milliseconds.
   */
  onEnded(entry: AdmissionEntry, now: number): void {
    if (this.#turn?.suspect === entry) {
      const pause = pauseFactor * (now - this.#turn.start);
      this.#turn = undefined;
      this.#nextTurnMilliseconds = now + pause;
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
