import { getStableHash } from "../common/mod.ts";
import type { NodePlace } from "./fleet_share.ts";
import type { QuotaLimits } from "./quota_limits.ts";

/** Permits of one tenant that the floor of a node holds at most. */
export interface FloorCapacity {
  /** When the node loses contact. */
  readonly initial: number;
  /**
   * While the floor is refilled. Then no instance counts the node, so its portion
   * of the buckets is added.
   */
  readonly refilled: number;
}

/**
 * Gets the capacity of the floor at one node. Permits are whole, so when there are
 * fewer than nodes, only some nodes hold one; which ones differs by tenant. The
 * initial capacities of all nodes add up to at most `floorCapacity`.
 * @param tenant The tenant.
 * @param floor Its limits and the place of the node.
 * @returns Whole numbers.
 */
export function getFloorCapacity(
  tenant: string,
  { limits, place }: { limits: QuotaLimits; place: NodePlace },
): FloorCapacity {
  const total = Math.floor(limits.floorCapacity);
  const position = (place.index + getStableHash(tenant)) % place.count;
  const isExtra = position < total % place.count;
  const initial = Math.floor(total / place.count) + (isExtra ? 1 : 0);
  return {
    initial,
    refilled: initial + Math.floor(limits.capacity / place.count),
  };
}

/** Permits of a tenant that a node uses without contact with control. */
export class PermitFloor {
  #level: number | undefined;
  #updatedAt = 0;

  /**
   * Takes a permit.
   * @param state The capacity and rate of the floor; since when it is refilled,
   * absent while an instance may count the node; and the time.
   * @returns 0, or the milliseconds until a permit is expected.
   */
  take(
    state: {
      capacity: FloorCapacity;
      permitsPerSecond: number;
      refillsSince: number | undefined;
      now: number;
    },
  ): number {
    const { capacity, permitsPerSecond, refillsSince = Infinity, now } = state;
    this.#level ??= capacity.initial;
    if (this.#updatedAt < refillsSince) {
      // An instance counted the node in the meantime, with its portion.
      this.#level = Math.min(this.#level, capacity.initial);
    }
    const refillMilliseconds = now - Math.max(this.#updatedAt, refillsSince);
    if (refillMilliseconds > 0) {
      const added = refillMilliseconds / 1000 * permitsPerSecond;
      this.#level = Math.min(capacity.refilled, this.#level + added);
    }
    this.#updatedAt = now;
    if (this.#level >= 1) {
      this.#level--;
      return 0;
    }
    return capacity.refilled === 0 ? maximumWaitMilliseconds : Math.min(
      maximumWaitMilliseconds,
      (1 - this.#level) / permitsPerSecond * 1000,
    );
  }
}

/** Longest time that a refusal names; contact may return at any time. */
const maximumWaitMilliseconds = 10_000;
