import type { Clock } from "../common/mod.ts";
import { RefusalRate, RetryThrottle } from "../retries/mod.ts";

/** Limits of the retries of this node to one service. */
export interface RetryBudget {
  readonly throttle: RetryThrottle;
  readonly refusalRate: RefusalRate;
}

/** Retry budgets by service. */
export class RetryBudgets {
  readonly #clock: Clock;
  readonly #budgets = new Map<string, RetryBudget>();

  /** @param clock Clock of the throttles. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Gets the budget of a service; creates it when missing.
   * @param service Name of the service.
   * @param ratio Retry ratio of the service in the document.
   */
  get(service: string, ratio: number): RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) {
      known.throttle.updateRatio(ratio);
      return known;
    }
    const budget = {
      throttle: new RetryThrottle(ratio, this.#clock),
      refusalRate: new RefusalRate(),
    };
    this.#budgets.set(service, budget);
    return budget;
  }
}
