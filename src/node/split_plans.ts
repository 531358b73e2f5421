import type { RandomSource } from "../common/mod.ts";
import type { Route } from "../document/mod.ts";
import { WeightedRotation } from "../routing/mod.ts";
import type { RoutePlan } from "./document_view.ts";

/** Settings of {@link SplitPlans}. */
export interface SplitPlansOptions {
  readonly random: RandomSource;
  createPlan(route: Route): RoutePlan | undefined;
}

/** Selects the plans of split routes in turn, in proportion to their weights. */
export class SplitPlans {
  readonly #options: SplitPlansOptions;
  readonly #rotations = new Map<
    Route,
    WeightedRotation<RoutePlan | undefined>
  >();

  /** @param options Random source, and a function that creates plans. */
  constructor(options: SplitPlansOptions) {
    this.#options = options;
  }

  /**
   * Selects the next plan of a split route.
   * @param route A route with a split.
   * @returns The plan; `undefined` when its service is unknown.
   */
  next(route: Route): RoutePlan | undefined {
    let rotation = this.#rotations.get(route);
    if (rotation === undefined) {
      const { random, createPlan } = this.#options;
      const parts = (route.split ?? []).map(({ service, weight }) => ({
        item: createPlan({ ...route, service }),
        weight,
      }));
      rotation = new WeightedRotation(parts, random);
      this.#rotations.set(route, rotation);
    }
    return rotation.next();
  }
}
