import type { RandomSource } from "../common/mod.ts";
import {
  type Distance,
  getSavingToLeave,
  isWorthLeaving,
  type TargetForecast,
} from "./placement.ts";
import type { RouterOptions, RoutingTarget } from "./routing_types.ts";
import type { TargetState } from "./target_state.ts";
import type { TierChoiceOptions } from "./target_tier.ts";

/** Factor of the mean service time from which a target counts as slow. */
const slowFactor = 1.3;

/** Compares targets at different distances from one node. */
export class TargetComparison {
  readonly #region: string;
  readonly #availabilityZone: string;
  readonly #localTargetId: string | undefined;
  readonly #random: RandomSource;

  /** @param options Locality of the node, and its random source. */
  constructor(options: RouterOptions) {
    this.#region = options.region;
    this.#availabilityZone = options.availabilityZone;
    this.#localTargetId = options.localTargetId;
    this.#random = options.random;
  }

  /** Gets the distance of a target from the node. */
  getDistance(target: RoutingTarget): Distance {
    if (target.region !== this.#region) {
      return "remote";
    }
    if (target.availabilityZone !== this.#availabilityZone) {
      return "region";
    }
    return target.targetId === this.#localTargetId ? "local" : "zone";
  }

  /** Checks whether a target is slower than the mean of its service. */
  isSlow(state: TargetState, options: TierChoiceOptions): boolean {
    const { meanServiceMilliseconds: mean, nowMilliseconds } = options;
    return mean > 0 &&
      state.serviceTime.get(mean, nowMilliseconds) > slowFactor * mean;
  }

  /**
   * Checks whether a call should go to a farther target.
   * @param near The near target.
   * @param far The farther target.
   * @param options Options of the choice, whether the near target counts as
   * saturated, and the time until the deadline of the call.
   */
  isWorthLeaving(
    near: TargetState,
    far: TargetState,
    options: {
      choice: TierChoiceOptions;
      isSaturated: boolean;
      remainingMilliseconds: number | undefined;
    },
  ): boolean {
    return isWorthLeaving(
      this.#getForecast(near, options.choice),
      this.#getForecast(far, options.choice),
      {
        savedMilliseconds: getSavingToLeave(options.remainingMilliseconds),
        isSaturated: options.isSaturated,
        random: this.#random,
      },
    );
  }

  #getForecast(
    state: TargetState,
    { rule, meanServiceMilliseconds, nowMilliseconds }: TierChoiceOptions,
  ): TargetForecast {
    return {
      load: state.getLoad(rule, nowMilliseconds),
      serviceMilliseconds: state.serviceTime.get(
        meanServiceMilliseconds,
        nowMilliseconds,
      ),
      distance: this.getDistance(state.target),
    };
  }
}
