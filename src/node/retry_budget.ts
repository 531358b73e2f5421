import { RetryRatio, ServiceRefusals } from "../retries/mod.ts";

/** What bounds the retries of this node to one service. */
export interface ServiceBudget {
  readonly ratio: RetryRatio;
  readonly refusals: ServiceRefusals;
}

/** Keeps the retry budget of each service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, ServiceBudget>();

  /**
   * Gets the budget of a service.
   * @param service Name of the service.
   * @param ratio Its retry ratio in the document.
   */
  get(service: string, ratio: number): ServiceBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) {
      known.ratio.setRatio(ratio);
      return known;
    }
    const budget = {
      ratio: new RetryRatio(ratio),
      refusals: new ServiceRefusals(),
    };
    this.#budgets.set(service, budget);
    return budget;
  }
}
