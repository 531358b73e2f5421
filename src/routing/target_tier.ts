import type { RandomSource } from "../common/mod.ts";
import type { ServiceRule } from "./routing_types.ts";
import type { TargetState } from "./target_state.ts";

const sampleCount = 2;
/** Largest number of targets to check for ones that accept a call. */
const maximumScannedTargets = 32;

/** Options of a choice within a tier. */
export interface TierChoiceOptions {
  readonly rule: ServiceRule;
  /** Mean own service time of the service in milliseconds; 0 when unknown. */
  readonly meanServiceMilliseconds: number;
  readonly excluded: ReadonlySet<string>;
  readonly nowMilliseconds: number;
  readonly random: RandomSource;
}

/** Usable targets of one service at the same distance from this node. */
export class TargetTier {
  readonly #states: TargetState[] = [];

  get length(): number {
    return this.#states.length;
  }

  /** Adds a target. */
  add(state: TargetState): void {
    state.tierIndex = this.#states.length;
    this.#states.push(state);
  }

  /** Removes a target in constant time; does nothing if it is not in the tier. */
  remove(state: TargetState): void {
    const index = state.tierIndex;
    if (index < 0 || this.#states[index] !== state) {
      return;
    }
    const last = this.#states.pop();
    if (last !== undefined && last !== state) {
      this.#states[index] = last;
      last.tierIndex = index;
    }
    state.tierIndex = -1;
  }

  /**
   * Chooses the less loaded of two random targets (power of two choices). With
   * known service times, the load is multiplied by the service time.
   * @returns The target; `undefined` when none accepts the call.
   */
  choose(options: TierChoiceOptions): TargetState | undefined {
    const count = this.#states.length;
    if (count === 0) {
      return undefined;
    }
    const start = Math.floor(options.random() * count);
    // A step from 1 to count - 1 ensures that the second sample differs.
    const step = count === 1
      ? 1
      : 1 + Math.floor(options.random() * (count - 1));
    let best: TargetState | undefined;
    let bestLoad = Infinity;
    let sampled = 0;
    const limit = Math.min(count, maximumScannedTargets);
    for (let i = 0; i < limit && sampled < sampleCount; i++) {
      const offset = i === 0 ? 0 : step + i - 1;
      const state = this.#states[(start + offset) % count];
      if (state === undefined || !canAccept(state, options)) {
        continue;
      }
      sampled++;
      const load = getWeightedLoad(state, options);
      if (load < bestLoad) {
        best = state;
        bestLoad = load;
      }
    }
    return best;
  }
}

function getWeightedLoad(
  state: TargetState,
  { rule, meanServiceMilliseconds, nowMilliseconds }: TierChoiceOptions,
): number {
  const load = state.getLoad(rule, nowMilliseconds);
  return meanServiceMilliseconds === 0
    ? load
    : load * state.serviceTime.get(meanServiceMilliseconds, nowMilliseconds);
}

function canAccept(state: TargetState, options: TierChoiceOptions): boolean {
  return state.canAccept(options.rule) &&
    !options.excluded.has(state.target.targetId);
}
