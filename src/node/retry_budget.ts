import { RefusalRate, RetryThrottle } from "../retries/mod.ts";

/** What bounds the retries of this node to one service. */
export interface RetryBudget {
  readonly throttle: RetryThrottle;
  readonly refusalRate: RefusalRate;
}

/** Keeps the retry budget of each service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  /**
   * Gets the budget of a service.
   * @param service Name of the service.
   * @param ratio Its retry ratio in the document.
   */
  get(service: string, ratio: number): RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) {
      known.throttle.updateRatio(ratio);
      return known;
    }
    const budget = {
      throttle: new RetryThrottle(ratio),
      refusalRate: new RefusalRate(),
    };
    this.#budgets.set(service, budget);
    return budget;
  }
}
