import type { RandomSource } from "../common/mod.ts";

/** An item and its weight relative to the others. */
export interface WeightedItem<Item> {
  readonly item: Item;
  /** Zero for an item that is never selected. */
  readonly weight: number;
}

/** Largest number of turns that are skipped for a random start. */
const maximumSkippedTurns = 1000;

/**
 * Selects items by smooth weighted round robin, so that any sequence of calls
 * contains them in proportion to their weights. The start is random: otherwise,
 * if many nodes make few calls each, all would go to the heaviest item.
 */
export class WeightedRotation<Item> {
  readonly #items: readonly WeightedItem<Item>[];
  readonly #credits: number[];
  readonly #total: number;

  /**
   * @param items The items; at least one with a weight above zero.
   * @param random Chooses the start.
   */
  constructor(items: readonly WeightedItem<Item>[], random: RandomSource) {
    this.#items = items;
    this.#total = items.reduce((sum, { weight }) => sum + weight, 0);
    this.#credits = items.map(() => 0);
    const steps = Math.floor(
      random() * Math.min(this.#total, maximumSkippedTurns),
    );
    for (let step = 0; step < steps; step++) {
      this.next();
    }
  }

  /** Selects the next item. */
  next(): Item {
    let best = 0;
    let bestCredit = -Infinity;
    this.#items.forEach(({ weight }, index) => {
      const credit = (this.#credits[index] ?? 0) + weight;
      this.#credits[index] = credit;
      if (weight > 0 && credit > bestCredit) {
        best = index;
        bestCredit = credit;
      }
    });
    this.#credits[best] = bestCredit - this.#total;
    return (this.#items[best] as WeightedItem<Item>).item;
  }
}
