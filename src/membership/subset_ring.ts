import { getStableHash } from "../common/mod.ts";
import { compareText, type KnownTarget } from "./target_record.ts";

/** Maximum number of targets of one service in a node's view. */
export const maximumSubsetSize = 32;

// Slots for targets of the own zone, the rest of the region and other regions.
// Half of them are in the own zone; the others are already in the view when
// that zone fails.
const tierQuotas = [16, 10, 6] as const;

/** Region and availability zone of a node. */
export interface Locality {
  readonly region: string;
  readonly availabilityZone: string;
}

/** A node that calls a service, and its availability zone. */
export interface CallingNode {
  readonly nodeId: string;
  readonly availabilityZone: string;
}

/**
 * Distributes the targets of a service over the nodes of one availability zone
 * that call it.
 *
 * The targets of a tier are ordered on a ring, and node `i` of `n` takes a
 * window that starts at `floor(i × size / n)`. Because the windows have equal
 * lengths and evenly spaced starts, the numbers of windows that cover any two
 * targets differ by at most one. For the targets of other regions, all nodes of
 * a region share one ring, so that a target is covered evenly by the whole
 * region and not only by each of its zones.
 */
export class SubsetRing {
  readonly #tiers: readonly (readonly KnownTarget[])[];
  readonly #lengths: readonly number[];
  /**
   * Callers by tier: those of the zone for the two tiers in the own region, and
   * those of the whole region for the tier of other regions.
   */
  readonly #callers: readonly (readonly HashedCaller[])[];

  /**
   * @param targets The live targets of the service.
   * @param callers The calling nodes of the region.
   * @param locality The zone of the nodes that select targets.
   */
  constructor(
    targets: Iterable<KnownTarget>,
    callers: Iterable<CallingNode>,
    locality: Locality,
  ) {
    const tiers: KnownTarget[][] = [[], [], []];
    for (const target of targets) {
      tiers[getTier(target, locality)]?.push(target);
    }
    // Each zone, or for other regions each region, orders the targets in its
    // own way. In one common order, the first nodes of all zones would select
    // the same targets.
    const zoneSeed = getStableHash(
      `${locality.region}\0${locality.availabilityZone}`,
    );
    const seeds = [zoneSeed, zoneSeed, getStableHash(locality.region)];
    this.#tiers = tiers.map((tier, index) =>
      interleaveZones(tier, seeds[index] ?? 0)
    );
    this.#lengths = getTierLengths(tiers.map((tier) => tier.length));
    const regionCallers = new Map<string, HashedCaller>();
    const zoneCallers = new Map<string, HashedCaller>();
    for (const { nodeId, availabilityZone } of callers) {
      const caller = createHashedCaller(nodeId);
      regionCallers.set(nodeId, caller);
      if (availabilityZone === locality.availabilityZone) {
        zoneCallers.set(nodeId, caller);
      }
    }
    const sortedInZone = [...zoneCallers.values()].sort(compareCallers);
    const sortedInRegion = [...regionCallers.values()].sort(compareCallers);
    this.#callers = [sortedInZone, sortedInZone, sortedInRegion];
  }

  /**
   * Gets the targets of a node; the same on every instance that knows the same
   * targets and callers.
   * @param nodeId The node.
   * @returns At most {@link maximumSubsetSize} targets, ordered by identity.
   */
  select(nodeId: string): KnownTarget[] {
    const caller = createHashedCaller(nodeId);
    const selected = this.#tiers.flatMap((tier, index) => {
      const callers = this.#callers[index] ?? [];
      const count = Math.max(callers.length, 1);
      const rank = getRank(callers, caller);
      const length = this.#lengths[index] ?? 0;
      const start = Math.floor((rank * tier.length) / count);
      return Array.from(
        { length },
        (_, offset) => tier[(start + offset) % tier.length],
      );
    });
    return selected.filter((each) => each !== undefined)
      .sort((a, b) => compareText(a.targetId, b.targetId));
  }
}

interface HashedCaller {
  readonly nodeId: string;
  readonly hash: number;
}

/** Gets the index of a caller, or the index at which it would be inserted. */
function getRank(
  callers: readonly HashedCaller[],
  caller: HashedCaller,
): number {
  let low = 0;
  let high = callers.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = callers[middle];
    if (other !== undefined && compareCallers(other, caller) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function createHashedCaller(nodeId: string): HashedCaller {
  return { nodeId, hash: getStableHash(nodeId) };
}

function compareCallers(a: HashedCaller, b: HashedCaller): number {
  return a.hash - b.hash || compareText(a.nodeId, b.nodeId);
}

function getTier(target: KnownTarget, locality: Locality): number {
  if (target.region !== locality.region) {
    return 2;
  }
  return target.availabilityZone === locality.availabilityZone ? 0 : 1;
}

/**
 * Gets the number of targets to take from each tier. Slots that a tier does not
 * fill go to the nearest tier that has more targets.
 */
function getTierLengths(sizes: readonly number[]): number[] {
  const lengths = sizes.map((size, index) =>
    Math.min(size, tierQuotas[index] ?? 0)
  );
  let spare = maximumSubsetSize -
    lengths.reduce((sum, length) => sum + length, 0);
  return lengths.map((length, index) => {
    const extra = Math.min(spare, (sizes[index] ?? 0) - length);
    spare -= extra;
    return length + extra;
  });
}

/** Orders targets so that each zone has about the same part of every window. */
function interleaveZones(
  targets: readonly KnownTarget[],
  seed: number,
): KnownTarget[] {
  const zones = new Map<string, { target: KnownTarget; hash: number }[]>();
  for (const target of targets) {
    const name = `${target.region}\0${target.availabilityZone}`;
    const zone = zones.get(name) ?? [];
    zone.push({ target, hash: getStableHash(target.targetId, seed) });
    zones.set(name, zone);
  }
  const placed: { target: KnownTarget; position: number; zone: string }[] = [];
  for (const [name, zone] of zones) {
    zone.sort((a, b) =>
      a.hash - b.hash || compareText(a.target.targetId, b.target.targetId)
    );
    // Without an offset, zones of equal size would alternate in a fixed order
    // around the ring, and evenly spaced windows would start in the same zone.
    const offset = getStableHash(name, seed) / 2 ** 32;
    zone.forEach(({ target, hash }, index) => {
      const jitter = offset + hash / 2 ** 32;
      const position = (index + jitter / 2) / zone.length;
      placed.push({ target, position, zone: name });
    });
  }
  placed.sort((a, b) => a.position - b.position || compareText(a.zone, b.zone));
  return placed.map(({ target }) => target);
}
