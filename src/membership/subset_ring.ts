import { getStableHash } from "../common/mod.ts";
import { compareText, type KnownTarget } from "./target_record.ts";

/** Most targets of one service that a node gets. */
export const maximumSubsetSize = 32;

// Slots for the own zone, the rest of the region and other regions. Half stays
// near; the others are there before the own zone fails.
const tierQuotas = [16, 10, 6] as const;

/** Where the nodes of a ring are. */
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
 * Spreads the targets of a service over the nodes of one availability zone
 * that call it.
 *
 * The targets of a tier lie on a ring, and node `i` of `n` takes a window that
 * starts at `floor(i × size / n)`. Windows of one length that start evenly
 * spaced cover any two targets equally often, give or take one. The nodes of a
 * region have the other regions before them in the same order, so that a target
 * is covered evenly by a region and not only by each of its zones.
 */
export class SubsetRing {
  readonly #tiers: readonly (readonly KnownTarget[])[];
  readonly #lengths: readonly number[];
  /** Callers by tier: of the zone for the near tiers, else of the region. */
  readonly #callers: readonly (readonly HashedCaller[])[];

  /**
   * @param targets The live targets of the service.
   * @param callers The calling nodes of the region.
   * @param place The zone.
   */
  constructor(
    targets: Iterable<KnownTarget>,
    callers: Iterable<CallingNode>,
    place: Locality,
  ) {
    const tiers: KnownTarget[][] = [[], [], []];
    for (const target of targets) {
      tiers[getTier(target, place)]?.push(target);
    }
    // Each zone or region has its own order, or the first nodes of all would
    // meet at the same targets.
    const zoneSeed = getStableHash(
      `${place.region}\0${place.availabilityZone}`,
    );
    const seeds = [zoneSeed, zoneSeed, getStableHash(place.region)];
    this.#tiers = tiers.map((tier, index) =>
      interleaveZones(tier, seeds[index] ?? 0)
    );
    this.#lengths = getTierLengths(tiers.map((tier) => tier.length));
    const ofRegion = new Map<string, HashedCaller>();
    const ofZone = new Map<string, HashedCaller>();
    for (const { nodeId, availabilityZone } of callers) {
      const caller = createHashedCaller(nodeId);
      ofRegion.set(nodeId, caller);
      if (availabilityZone === place.availabilityZone) {
        ofZone.set(nodeId, caller);
      }
    }
    const inZone = [...ofZone.values()].sort(compareCallers);
    const inRegion = [...ofRegion.values()].sort(compareCallers);
    this.#callers = [inZone, inZone, inRegion];
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

/** Gets the index of a caller, or of the place where it would be. */
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

function getTier(target: KnownTarget, place: Locality): number {
  if (target.region !== place.region) {
    return 2;
  }
  return target.availabilityZone === place.availabilityZone ? 0 : 1;
}

/** Gets how many targets to take of each tier; unused slots go to the near. */
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

/** Orders targets so that each window has about the same part of each zone. */
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
    // Zones of equal size would otherwise come in the same order all around
    // the ring, and windows at equal distances would start in the same zone.
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
