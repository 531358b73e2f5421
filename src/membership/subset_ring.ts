import { getStableHash } from "../common/mod.ts";
import { compareText, type KnownTarget } from "./target_record.ts";

/** Most targets of one service that a node gets. */
export const maximumSubsetSize = 32;

// Slots for the own zone, the rest of the region and other regions. Half stays
// near; the others are there before the own zone fails.
const tierQuotas = [16, 10, 6] as const;

/** Where the nodes of a ring are. */
export interface Place {
  readonly region: string;
  readonly availabilityZone: string;
}

/**
 * Spreads the targets of a service over the nodes of one availability zone
 * that call it.
 *
 * The targets of a tier lie on a ring, and node `i` of `n` takes a window that
 * starts at `floor(i × size / n)`. Windows of one length that start evenly
 * spaced cover any two targets equally often, give or take one.
 */
export class SubsetRing {
  readonly #tiers: readonly (readonly KnownTarget[])[];
  readonly #lengths: readonly number[];
  readonly #callers: readonly Caller[];

  /**
   * @param targets The live targets of the service.
   * @param callers Identities of the calling nodes in the zone.
   * @param place The zone.
   */
  constructor(
    targets: Iterable<KnownTarget>,
    callers: Iterable<string>,
    place: Place,
  ) {
    const tiers: KnownTarget[][] = [[], [], []];
    for (const target of targets) {
      tiers[getTier(target, place)]?.push(target);
    }
    // Each zone has its own order, or the first nodes of all zones would meet
    // at the same targets.
    const seed = getStableHash(`${place.region}\0${place.availabilityZone}`);
    this.#tiers = tiers.map((tier) => interleaveZones(tier, seed));
    this.#lengths = getTierLengths(tiers.map((tier) => tier.length));
    this.#callers = [...new Set(callers)].map(createCaller)
      .sort(compareCallers);
  }

  /**
   * Gets the targets of a node; the same on every instance that knows the same
   * targets and callers.
   * @param nodeId The node.
   * @returns At most {@link maximumSubsetSize} targets, ordered by identity.
   */
  select(nodeId: string): KnownTarget[] {
    const rank = this.#getRank(createCaller(nodeId));
    const count = Math.max(this.#callers.length, 1);
    const selected = this.#tiers.flatMap((tier, index) => {
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

  /** Gets the index of a caller, or of the place where it would be. */
  #getRank(caller: Caller): number {
    let low = 0;
    let high = this.#callers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#callers[middle];
      if (other !== undefined && compareCallers(other, caller) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

interface Caller {
  readonly nodeId: string;
  readonly hash: number;
}

function createCaller(nodeId: string): Caller {
  return { nodeId, hash: getStableHash(nodeId) };
}

function compareCallers(a: Caller, b: Caller): number {
  return a.hash - b.hash || compareText(a.nodeId, b.nodeId);
}

function getTier(target: KnownTarget, place: Place): number {
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
    zone.forEach(({ target }, index) =>
      placed.push({ target, position: (index + 0.5) / zone.length, zone: name })
    );
  }
  placed.sort((a, b) => a.position - b.position || compareText(a.zone, b.zone));
  return placed.map(({ target }) => target);
}
