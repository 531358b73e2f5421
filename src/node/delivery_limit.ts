import type { Clock } from "../common/mod.ts";
import type { DeadlineTimers, Expirable } from "./deadline_timers.ts";

/** Time limits of a response that is passed on beyond its deadline. */
export interface DeliveryTimes {
  /** Time for which the node waits for the sender, beyond the deadline. */
  readonly waitMilliseconds: number;
  /** Time for which the receiver may take no bytes. */
  readonly noProgressMilliseconds: number;
  /**
   * Time beyond the deadline for which the response may go on, because it keeps
   * a slot of the target. The time behind earlier responses does not count.
   */
  readonly totalMilliseconds: number;
}

/** Limits of a response to a caller. */
export const callerDeliveryTimes: DeliveryTimes = {
  waitMilliseconds: 1000,
  noProgressMilliseconds: 10_000,
  totalMilliseconds: 15_000,
};

/**
 * Limits of a response to another node. They are longer, because that node sees
 * what its caller takes, and ends the response itself.
 */
export const peerDeliveryTimes: DeliveryTimes = {
  waitMilliseconds: 2000,
  noProgressMilliseconds: 30_000,
  totalMilliseconds: 60_000,
};

/** Why a limit ended a response. */
export type DeliveryLimitReason =
  /** The deadline passed, and the rest was not sent or taken in time. */
  | "deadline"
  /** The receiver took no bytes. */
  | "no-progress";

/** Settings of a {@link DeliveryLimit}. */
export interface DeliveryLimitOptions {
  readonly clock: Clock;
  readonly timers: DeadlineTimers;
  /** Deadline of the call, in monotonic time. */
  readonly deadlineMilliseconds: number;
  readonly times: DeliveryTimes;
  /** Reports whether earlier responses keep the receiver from taking bytes. */
  isBehindOthers(): boolean;
  /** Called at most once. */
  onExceeded(reason: DeliveryLimitReason): void;
}

/**
 * Waiting time beyond the deadline that is added for the time in which the
 * receiver was the slower side, as a share of it. A transfer of many chunks
 * waits a moment for each of them.
 */
const waitShare = 0.25;
/** Time in which bytes are read that arrived while the process was held up. */
const lastReadMilliseconds = 8;

/**
 * Limits the time of a response that is passed on while it is received. Before
 * its deadline there is no limit. Beyond it, the time is limited in which the
 * receiver waits for the sender, and the time in which the receiver takes no
 * bytes. A receiver that takes bytes slowly has a limit of its own.
 */
export class DeliveryLimit implements Expirable {
  readonly #options: DeliveryLimitOptions;
  #isBlocked = false;
  #isStopped = false;
  #isLastRead = false;
  #changeMilliseconds: number;
  /** Time of the last bytes that the receiver took. */
  #progressMilliseconds = 0;
  #waitedMilliseconds = 0;
  #blockedMilliseconds = 0;
  /** Part of the blocked time in which earlier responses were sent. */
  #behindMilliseconds = 0;
  #timerMilliseconds = 0;

  /** @param options Deadline, limits, and what is called beyond them. */
  constructor(options: DeliveryLimitOptions) {
    this.#options = options;
    this.#changeMilliseconds = options.clock.monotonicMilliseconds();
    this.#schedule(options.deadlineMilliseconds);
  }

  /** The receiver takes no further bytes for now. */
  onBlocked(): void {
    if (!this.#isBlocked) {
      this.#progressMilliseconds = this.#addTime();
      this.#isBlocked = true;
    }
  }

  /** The receiver took what was written. */
  onDrain(): void {
    if (this.#isBlocked) {
      this.#addTime();
      this.#isBlocked = false;
    }
  }

  /** Ends the limit together with the response. */
  stop(): void {
    this.#isStopped = true;
    this.#options.timers.remove(this.#timerMilliseconds, this);
  }

  onDeadline(): void {
    if (this.#isStopped) {
      return;
    }
    const { times, isBehindOthers } = this.#options;
    const now = this.#addTime();
    const waitLeft = times.waitMilliseconds +
      this.#blockedMilliseconds * waitShare - this.#waitedMilliseconds;
    if (this.#isBlocked && isBehindOthers()) {
      this.#progressMilliseconds = now;
      this.#behindMilliseconds = this.#blockedMilliseconds;
    }
    const totalLeft = times.totalMilliseconds + this.#behindMilliseconds -
      this.#blockedMilliseconds - this.#waitedMilliseconds;
    const progressLeft = this.#isBlocked
      ? this.#progressMilliseconds + times.noProgressMilliseconds - now
      : Infinity;
    if (progressLeft <= 0) {
      this.#end("no-progress");
    } else if (totalLeft <= 0) {
      this.#end("deadline");
    } else if (waitLeft > 0) {
      this.#isLastRead = false;
      this.#schedule(now + Math.min(waitLeft, progressLeft, totalLeft));
    } else if (this.#isLastRead) {
      this.#end("deadline");
    } else {
      this.#isLastRead = true;
      this.#schedule(now + lastReadMilliseconds);
    }
  }

  /**
   * Adds the time since the last change to that of the side which was slower.
   * @returns The current time.
   */
  #addTime(): number {
    const { clock, deadlineMilliseconds } = this.#options;
    const now = clock.monotonicMilliseconds();
    const start = Math.max(this.#changeMilliseconds, deadlineMilliseconds);
    const milliseconds = Math.max(0, now - start);
    if (this.#isBlocked) {
      this.#blockedMilliseconds += milliseconds;
    } else {
      this.#waitedMilliseconds += milliseconds;
    }
    this.#changeMilliseconds = now;
    return now;
  }

  #schedule(milliseconds: number): void {
    this.#timerMilliseconds = milliseconds;
    this.#options.timers.add(milliseconds, this);
  }

  #end(reason: DeliveryLimitReason): void {
    this.#isStopped = true;
    this.#options.onExceeded(reason);
  }
}
