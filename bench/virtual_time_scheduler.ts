import { ManualClock } from "../src/common/mod.ts";

const ticksPerMillisecond = 20;

/** Runs actions in virtual time, in ticks of 0.05 ms. */
export class VirtualTimeScheduler {
  readonly clock: ManualClock = new ManualClock();
  readonly #actions = new Map<number, (() => void)[]>();
  #tick = 0;

  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Runs an action after a delay in milliseconds, in a later tick. */
  schedule(delayMilliseconds: number, action: () => void): void {
    const ticks = Math.round(delayMilliseconds * ticksPerMillisecond);
    const tick = this.#tick + Math.max(1, ticks);
    const actions = this.#actions.get(tick);
    if (actions === undefined) {
      this.#actions.set(tick, [action]);
    } else {
      actions.push(action);
    }
  }

  /** Runs all actions up to a time. */
  runUntil(endMilliseconds: number): void {
    while (this.#tick < endMilliseconds * ticksPerMillisecond) {
      this.#tick++;
      this.clock.advance(1 / ticksPerMillisecond);
      const actions = this.#actions.get(this.#tick);
      this.#actions.delete(this.#tick);
      actions?.forEach((action) => action());
    }
  }
}
