import { ManualClock } from "../src/common/mod.ts";

const ticksPerMillisecond = 20;

/** Runs scheduled actions in virtual time, which advances by 0.05 ms a tick. */
export class VirtualTimeScheduler {
  readonly clock: ManualClock = new ManualClock();
  readonly #actionsByTick = new Map<number, (() => void)[]>();
  #tick = 0;

  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Schedules an action after a delay, but never in the current tick. */
  schedule(delayMilliseconds: number, action: () => void): void {
    const ticks = Math.round(delayMilliseconds * ticksPerMillisecond);
    const tick = this.#tick + Math.max(1, ticks);
    const actions = this.#actionsByTick.get(tick);
    if (actions === undefined) {
      this.#actionsByTick.set(tick, [action]);
    } else {
      actions.push(action);
    }
  }

  /** Advances the clock to a time and runs the actions that become due. */
  runUntil(endMilliseconds: number): void {
    while (this.#tick < endMilliseconds * ticksPerMillisecond) {
      this.#tick++;
      this.clock.advance(1 / ticksPerMillisecond);
      const actions = this.#actionsByTick.get(this.#tick);
      this.#actionsByTick.delete(this.#tick);
      actions?.forEach((action) => action());
    }
  }
}
