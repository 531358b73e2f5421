import type {
  LinkBytes,
  LinkKey,
  LinkRule,
  LinkShare,
} from "./routing_types.ts";
import { LinkBudget } from "./link_budget.ts";

/** Link budgets of this node, one for each direction between two regions. */
export class LinkTable {
  readonly #budgets = new Map<string, Map<string, LinkBudget>>();

  /** Gets the budget of a direction; `undefined` without a limit. */
  get(from: string, to: string): LinkBudget | undefined {
    return this.#budgets.get(from)?.get(to);
  }

  /** Replaces the rules; budgets of unchanged rules are kept. */
  update(rules: readonly LinkRule[], nowMilliseconds: number): void {
    const previous = new Map(this.#budgets);
    this.#budgets.clear();
    for (const { from, to, ...rule } of rules) {
      for (const key of [{ from, to }, { from: to, to: from }]) {
        const known = previous.get(key.from)?.get(key.to);
        const isSame = known !== undefined &&
          known.rule.bytesPerSecond === rule.bytesPerSecond &&
          known.rule.reservedShare === rule.reservedShare;
        this.#set(
          isSame ? known : new LinkBudget({ ...rule, ...key }, nowMilliseconds),
        );
      }
    }
  }

  /** Changes this node's shares of the links. */
  updateShares(shares: readonly LinkShare[], nowMilliseconds: number): void {
    for (const { from, to, bytesPerSecond } of shares) {
      this.get(from, to)?.setShare(bytesPerSecond, nowMilliseconds);
    }
  }

  /** Records bytes that were transferred over a link. */
  onBytes(link: LinkKey, bytes: number, nowMilliseconds: number): void {
    this.get(link.from, link.to)?.onBytes(bytes, nowMilliseconds);
  }

  /** Gets and resets the bytes of each link since the last call. */
  takeBytes(): LinkBytes[] {
    const all: LinkBytes[] = [];
    for (const budgets of this.#budgets.values()) {
      for (const budget of budgets.values()) {
        const bytes = budget.takeBytes();
        if (bytes > 0) {
          all.push({ from: budget.rule.from, to: budget.rule.to, bytes });
        }
      }
    }
    return all;
  }

  #set(budget: LinkBudget): void {
    const { from, to } = budget.rule;
    const budgets = this.#budgets.get(from) ?? new Map<string, LinkBudget>();
    budgets.set(to, budget);
    this.#budgets.set(from, budgets);
  }
}
