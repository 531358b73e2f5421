import { getStableHash } from "../common/mod.ts";

/**
 * Number of buckets per owner. Each bucket has a digest; if it differs between
 * two instances, only the items of that bucket are sent again.
 */
export const bucketCount = 16;

/** How the items of a table are identified and ordered. */
export interface TableRules<Item> {
  getKey(item: Item): string;
  /** Gets the text that changes with every version of an item. */
  getVersion(item: Item): string;
  /** Compares two versions of an item; a total order. */
  compare(a: Item, b: Item): number;
  isLive(item: Item): boolean;
}

interface Entry<Item> {
  item: Item;
  owner: string;
  readonly bucket: number;
  hash: number;
  /** Monotonic time of the last change. */
  changedAt: number;
}

/** A change of one key. */
export interface TableChange<Item> {
  readonly previous: Item | undefined;
  readonly current: Item | undefined;
}

/**
 * The newest known version of each item, with the instance that owns it. Items
 * that are not live stay as tombstones, so that late messages do not revive
 * them. Digests cover live items only.
 */
export class ReplicatedTable<Item> {
  readonly #rules: TableRules<Item>;
  readonly #entries = new Map<string, Entry<Item>>();
  readonly #digests = new Map<string, Uint32Array>();
  readonly #onChange: (change: TableChange<Item>) => void;

  /**
   * @param rules How items are identified and ordered.
   * @param onChange Called after each change.
   */
  constructor(
    rules: TableRules<Item>,
    onChange: (change: TableChange<Item>) => void,
  ) {
    this.#rules = rules;
    this.#onChange = onChange;
  }

  /** Number of items, tombstones included. */
  get size(): number {
    return this.#entries.size;
  }

  get(key: string): Item | undefined {
    return this.#entries.get(key)?.item;
  }

  getOwner(key: string): string | undefined {
    return this.#entries.get(key)?.owner;
  }

  /** Gets all items, tombstones included. */
  *values(): IterableIterator<Item> {
    for (const entry of this.#entries.values()) {
      yield entry.item;
    }
  }

  /**
   * Stores an item if it is newer than the known one.
   * @param item The item.
   * @param options Its owner and the monotonic time.
   * @returns Whether it was newer than the known one, the same or older.
   */
  merge(
    item: Item,
    options: { owner: string; now: number },
  ): "newer" | "same" | "older" {
    const key = this.#rules.getKey(item);
    const entry = this.#entries.get(key);
    const order = entry === undefined
      ? 1
      : this.#rules.compare(item, entry.item);
    if (order <= 0) {
      return order === 0 ? "same" : "older";
    }
    const hash = getStableHash(this.#rules.getVersion(item));
    if (entry === undefined) {
      const created = {
        item,
        owner: options.owner,
        bucket: getStableHash(key) % bucketCount,
        hash,
        changedAt: options.now,
      };
      this.#entries.set(key, created);
      this.#toggleDigest(created);
      this.#onChange({ previous: undefined, current: item });
      return "newer";
    }
    const previous = entry.item;
    this.#toggleDigest(entry);
    entry.item = item;
    entry.owner = options.owner;
    entry.hash = hash;
    entry.changedAt = options.now;
    this.#toggleDigest(entry);
    this.#onChange({ previous, current: item });
    return "newer";
  }

  /** Gets the digests of an owner's live items, one for each bucket. */
  getDigests(owner: string): readonly number[] {
    return [...this.#digests.get(owner) ?? new Uint32Array(bucketCount)];
  }

  /** Gets the items of an owner in a bucket, tombstones included. */
  getBucket(owner: string, bucket: number): Item[] {
    const items: Item[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.owner === owner && entry.bucket === bucket) {
        items.push(entry.item);
      }
    }
    return items;
  }

  /** Gets the live items of an owner. */
  getLive(owner: string): Item[] {
    const items: Item[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.owner === owner && this.#rules.isLive(entry.item)) {
        items.push(entry.item);
      }
    }
    return items;
  }

  /**
   * Removes live items of an owner without leaving tombstones.
   * @param owner The owner.
   * @param options The bucket (all if absent), the keys to keep, and a
   * predicate that says which of the other items may be removed.
   */
  drop(
    owner: string,
    options: {
      bucket?: number;
      kept?: ReadonlySet<string>;
      mayDrop?: (item: Item) => boolean;
    } = {},
  ): void {
    for (const [key, entry] of this.#entries) {
      if (
        entry.owner === owner &&
        (options.bucket === undefined || entry.bucket === options.bucket) &&
        !options.kept?.has(key) && this.#rules.isLive(entry.item) &&
        (options.mayDrop?.(entry.item) ?? true)
      ) {
        this.#remove(key, entry);
      }
    }
    if (options.bucket === undefined) {
      this.#digests.delete(owner);
    }
  }

  /** Removes the tombstones that last changed before a monotonic time. */
  dropTombstones(before: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.changedAt < before && !this.#rules.isLive(entry.item)) {
        this.#remove(key, entry);
      }
    }
  }

  #remove(key: string, entry: Entry<Item>): void {
    this.#toggleDigest(entry);
    this.#entries.delete(key);
    this.#onChange({ previous: entry.item, current: undefined });
  }

  /** Adds a live entry to the digest of its bucket, or removes it (XOR). */
  #toggleDigest(entry: Entry<Item>): void {
    if (!this.#rules.isLive(entry.item)) {
      return;
    }
    let digests = this.#digests.get(entry.owner);
    if (digests === undefined) {
      digests = new Uint32Array(bucketCount);
      this.#digests.set(entry.owner, digests);
    }
    digests[entry.bucket] = (digests[entry.bucket] ?? 0) ^ entry.hash;
  }
}
