import {
  compareNodeRecords,
  getNodeKey,
  getNodeVersion,
  type NodeRecord,
} from "./node_record.ts";
import {
  bucketCount,
  ReplicatedTable,
  type TableChange,
} from "./replicated_table.ts";
import {
  compareTargets,
  getTargetKey,
  getTargetVersion,
  isDrained,
  isForgottenDrain,
  isLiveTarget,
  type KnownTarget,
} from "./target_record.ts";
import type {
  Bucket,
  BucketKey,
  DirectoryBatch,
  DirectoryItems,
  OwnerDigest,
} from "./directory_batch.ts";
import { OwnerTracker } from "./owner_tracker.ts";
import { getServiceKey, type ServiceName } from "./service_name.ts";

/** Settings of a directory; times in milliseconds. */
export interface DirectoryOptions {
  readonly instanceId: string;
  /** Start of this process; larger is newer. */
  readonly boot: number;
  /** Monotonic time at the start. */
  readonly now: number;
  /** Gets the identities of the other control instances. */
  readonly getPeers: () => readonly string[];
  readonly leaseMilliseconds?: number;
  readonly graceMilliseconds?: number;
  readonly tombstoneMilliseconds?: number;
}

interface Lease {
  readonly nodeKey: string;
  sessionSequence: number;
  expiresAt: number;
  /**
   * Targets of the node by key, with the time by which the node must announce
   * them again; `undefined` once it has.
   */
  readonly targets: Map<string, number | undefined>;
}

// A longer gap between two calls of `expire` means that this process was paused
// and could not read the renewals that arrived in the meantime.
const pauseThresholdMilliseconds = 1000;
// Two digest intervals: by then, an item that moved is known from its new
// owner.
const missingItemGraceMilliseconds = 4000;
// Not on every call of `expire`, because the check visits all items.
const tombstoneCheckIntervalMilliseconds = 10_000;

/**
 * The targets and nodes that a control instance knows: those that it owns
 * through the leases of its nodes, and those that it received from other
 * instances. This is soft state, so each side of a partition continues with the
 * items that it receives.
 */
export class Directory {
  readonly #options: Required<Omit<DirectoryOptions, "now">>;
  readonly #owner: string;
  readonly #owners: OwnerTracker;
  readonly #leases = new Map<string, Lease>();
  readonly #services = new Map<string, Map<string, KnownTarget>>();
  readonly #changedServices = new Map<string, ServiceName>();
  readonly #ownTargetChanges = new Set<string>();
  readonly #ownNodeChanges = new Set<string>();
  /** Own targets that another instance knows to have been drained. */
  readonly #forgottenDrains = new Set<string>();
  readonly #targets = new ReplicatedTable<KnownTarget>({
    getKey: getTargetKey,
    getVersion: getTargetVersion,
    compare: compareTargets,
    isLive: isLiveTarget,
  }, (change) => this.#onTargetChange(change));
  readonly #nodes = new ReplicatedTable<NodeRecord>({
    getKey: getNodeKey,
    getVersion: getNodeVersion,
    compare: compareNodeRecords,
    isLive: (node) => node.state !== "gone",
  }, (change) => this.#onNodeChange(change));
  /** Time at which an item was first missing in its owner's bucket. */
  readonly #missingSince = new WeakMap<object, number>();
  #counter = 0;
  #lastExpireAt: number;
  #lastTombstoneCheckAt = Number.NEGATIVE_INFINITY;

  constructor(options: DirectoryOptions) {
    this.#options = {
      leaseMilliseconds: 6000,
      graceMilliseconds: 10_000,
      tombstoneMilliseconds: 600_000,
      ...options,
    };
    this.#owner = `${options.instanceId}#${options.boot}`;
    this.#owners = new OwnerTracker({
      instanceId: options.instanceId,
      graceMilliseconds: this.#options.graceMilliseconds,
      now: options.now,
    });
    this.#lastExpireAt = options.now;
  }

  get leaseMilliseconds(): number {
    return this.#options.leaseMilliseconds;
  }

  /** Gets the number of nodes that hold their lease here. */
  get leaseCount(): number {
    return this.#leases.size;
  }

  /**
   * Opens or takes over the lease of a node. The node must announce its
   * targets again within the time of a lease.
   * @param node The node; `update` 0 and `connected`.
   * @param now Monotonic time in milliseconds.
   */
  openLease(node: NodeRecord, now: number): void {
    const nodeKey = getNodeKey(node);
    const confirmBy = now + this.#options.leaseMilliseconds;
    const targets = new Map<string, number | undefined>();
    for (const key of this.#leases.get(nodeKey)?.targets.keys() ?? []) {
      targets.set(key, confirmBy);
    }
    this.#leases.set(nodeKey, {
      nodeKey,
      sessionSequence: node.sessionSequence,
      expiresAt: confirmBy,
      targets,
    });
    this.#nodes.merge(node, { owner: this.#owner, now });
  }

  /**
   * Renews the lease of a node.
   * @param session The node's key and the sequence of its session.
   * @param report State that the node reports, and the monotonic time in
   * milliseconds.
   * @returns False when the node has no lease, or one of a newer session.
   */
  renew(
    session: { nodeKey: string; sessionSequence: number },
    report: { revision: number; admissionLevel: number; now: number },
  ): boolean {
    const lease = this.#getLease(session);
    if (lease === undefined) {
      return false;
    }
    lease.expiresAt = report.now + this.#options.leaseMilliseconds;
    const known = this.#nodes.get(session.nodeKey);
    if (
      known !== undefined && this.#nodes.getOwner(session.nodeKey) ===
        this.#owner &&
      (known.revision !== report.revision ||
        known.admissionLevel !== report.admissionLevel)
    ) {
      this.#nodes.merge({
        ...known,
        update: known.update + 1,
        revision: report.revision,
        admissionLevel: report.admissionLevel,
      }, { owner: this.#owner, now: report.now });
    }
    return true;
  }

  /**
   * Records a target that a node announces.
   * @param session The node's key and the sequence of its session.
   * @param announcement The target and the monotonic time.
   * @returns `undefined` when the record was accepted; otherwise the newer
   * known record, or `"no-lease"`.
   */
  announce(
    session: { nodeKey: string; sessionSequence: number },
    announcement: { target: KnownTarget; now: number },
  ): KnownTarget | "no-lease" | undefined {
    const lease = this.#getLease(session);
    if (lease === undefined) {
      return "no-lease";
    }
    const { target, now } = announcement;
    const key = getTargetKey(target);
    const known = this.#targets.get(key);
    if (known !== undefined && compareTargets(target, known) < 0) {
      return known;
    }
    this.#targets.merge(target, { owner: this.#owner, now });
    if (isLiveTarget(target)) {
      lease.targets.set(key, undefined);
    } else {
      lease.targets.delete(key);
    }
    return undefined;
  }

  /**
   * Records that a target is to be drained. A node that announces the target
   * without knowing of it is asked to drain it.
   * @param name The target.
   * @param now Monotonic time in milliseconds.
   */
  drain(
    name: { environment: string; targetId: string },
    now: number,
  ): void {
    const known = this.getTarget(name);
    if (known !== undefined && !isDrained(known)) {
      this.#targets.merge({
        ...known,
        state: "draining",
        drainedIncarnation: known.incarnation,
      }, { owner: this.#owner, now });
    }
  }

  /** Gets whether a session still holds its lease. */
  hasLease(session: { nodeKey: string; sessionSequence: number }): boolean {
    return this.#getLease(session) !== undefined;
  }

  /** Records that the stream of a node ended while its lease runs. */
  disconnect(
    session: { nodeKey: string; sessionSequence: number },
    now: number,
  ): void {
    const node = this.#nodes.get(session.nodeKey);
    if (
      this.#getLease(session) !== undefined && node?.state === "connected" &&
      this.#nodes.getOwner(session.nodeKey) === this.#owner
    ) {
      const disconnected = {
        ...node,
        update: node.update + 1,
        state: "disconnected" as const,
      };
      this.#nodes.merge(disconnected, { owner: this.#owner, now });
    }
  }

  /** Ends the lease of a node that stops; its targets expire. */
  leave(
    session: { nodeKey: string; sessionSequence: number },
    now: number,
  ): void {
    const lease = this.#getLease(session);
    if (lease !== undefined) {
      this.#endLease(lease, now);
    }
  }

  /**
   * Ends expired leases and removes the items of lost instances and old
   * tombstones. To be called several times a second.
   * @param now Monotonic time in milliseconds.
   * @returns Keys of the nodes whose lease ended.
   */
  expire(now: number): string[] {
    const ended: string[] = [];
    const pause = now - this.#lastExpireAt;
    this.#lastExpireAt = now;
    if (pause > pauseThresholdMilliseconds) {
      this.#extendDeadlines(pause);
    }
    for (const lease of this.#leases.values()) {
      if (lease.expiresAt <= now) {
        this.#endLease(lease, now);
        ended.push(lease.nodeKey);
        continue;
      }
      for (const [key, confirmBy] of lease.targets) {
        if (confirmBy !== undefined && confirmBy <= now) {
          this.#expireTarget(key, now);
          lease.targets.delete(key);
        }
      }
    }
    for (const owner of this.#owners.takeLostOwners(now)) {
      this.#expireDrainedTargets(owner, now);
      this.#targets.drop(owner);
      this.#nodes.drop(owner);
    }
    if (now - this.#lastTombstoneCheckAt > tombstoneCheckIntervalMilliseconds) {
      this.#lastTombstoneCheckAt = now;
      this.#targets.dropTombstones(now - this.#options.tombstoneMilliseconds);
      this.#nodes.dropTombstones(now - this.#options.tombstoneMilliseconds);
    }
    return ended;
  }

  /** Gets the live targets of a service by their key. */
  getTargets(name: ServiceName): ReadonlyMap<string, KnownTarget> {
    return this.#services.get(getServiceKey(name)) ?? new Map();
  }

  /** Gets the last known record of a target, also after the target ended. */
  getRecord(
    name: { environment: string; targetId: string },
  ): KnownTarget | undefined {
    return this.#targets.get(getTargetKey(name));
  }

  /** Gets a target if it is live. */
  getTarget(
    name: { environment: string; targetId: string },
  ): KnownTarget | undefined {
    const target = this.getRecord(name);
    return target !== undefined && isLiveTarget(target) ? target : undefined;
  }

  /** Gets the instance that holds the lease of a target's node. */
  getTargetOwner(
    name: { environment: string; targetId: string },
  ): string | undefined {
    const owner = this.#targets.getOwner(getTargetKey(name));
    return owner === undefined ? undefined : getInstanceId(owner);
  }

  /** Gets the live nodes of an environment. */
  getNodes(environment: string): NodeRecord[] {
    return [...this.#nodes.values()].filter((node) =>
      node.environment === environment && node.state !== "gone"
    );
  }

  /** Gets the number of connected nodes of each instance. */
  getNodeCounts(): ReadonlyMap<string, number> {
    const instances = [this.#options.instanceId, ...this.#options.getPeers()];
    const counts = new Map(instances.map((instance) => [instance, 0]));
    for (const node of this.#nodes.values()) {
      const owner = this.#nodes.getOwner(getNodeKey(node));
      const instance = owner === undefined ? "" : getInstanceId(owner);
      const count = counts.get(instance);
      if (node.state === "connected" && count !== undefined) {
        counts.set(instance, count + 1);
      }
    }
    return counts;
  }

  /** Gets the services of an environment that have live targets. */
  getServices(environment: string): string[] {
    const prefix = `${environment}\0`;
    return [...this.#services.keys()]
      .filter((key) => key.startsWith(prefix))
      .map((key) => key.slice(prefix.length));
  }

  /** Gets and clears the services whose targets changed since the last call. */
  takeChangedServices(): ServiceName[] {
    const changed = [...this.#changedServices.values()];
    this.#changedServices.clear();
    return changed;
  }

  /** Gets and clears the own items that changed since the last call. */
  takeOwnChanges(): DirectoryItems {
    const changes = {
      targets: getItems(this.#targets, this.#ownTargetChanges),
      nodes: getItems(this.#nodes, this.#ownNodeChanges),
    };
    this.#ownTargetChanges.clear();
    this.#ownNodeChanges.clear();
    return changes;
  }

  /**
   * Gets and clears the records of targets that nodes announced here as not
   * drained, and that another instance knows to have been drained.
   */
  takeForgottenDrains(): KnownTarget[] {
    const records = [...this.#forgottenDrains].map((key) =>
      this.#targets.get(key)
    ).filter((each) => each !== undefined);
    this.#forgottenDrains.clear();
    return records;
  }

  /**
   * Gets whether this instance may not know all targets yet. While this holds,
   * nodes must keep targets that it does not know.
   * @param now Monotonic time in milliseconds.
   */
  isCollecting(now: number): boolean {
    return this.#owners.isCollecting(this.#options.getPeers(), now);
  }

  /**
   * Gets whether this instance has all records that the present processes of the
   * others own. Instances that restart together have them long before they know
   * all targets again.
   * @param now Monotonic time in milliseconds.
   */
  hasAllRecords(now: number): boolean {
    return !this.isCollecting(now) ||
      this.#owners.isSynchronizedWith(this.#options.getPeers());
  }

  /**
   * Creates a batch for another instance.
   * @param content Items to send, the buckets that the receiver requested, and
   * whether to add digests.
   * @param now Monotonic time in milliseconds.
   */
  createBatch(
    content: DirectoryItems & {
      requestedBuckets: readonly BucketKey[];
      hasDigests: boolean;
    },
    now: number,
  ): DirectoryBatch {
    this.#counter++;
    return {
      instanceId: this.#options.instanceId,
      boot: this.#options.boot,
      counter: this.#counter,
      collecting: this.isCollecting(now),
      targets: content.targets,
      nodes: content.nodes,
      buckets: content.requestedBuckets.map((key) => this.#createBucket(key)),
      digests: content.hasDigests ? this.#createDigests() : [],
    };
  }

  /**
   * Merges a batch of another instance. Batches may be repeated, late or lost;
   * lost items are found by comparing digests.
   * @param batch The batch.
   * @param now Monotonic time in milliseconds.
   * @returns The buckets to request from the sender.
   */
  mergeBatch(batch: DirectoryBatch, now: number): BucketKey[] {
    const owner = `${batch.instanceId}#${batch.boot}`;
    const contact = this.#owners.recordContact(owner, {
      counter: batch.counter,
      collecting: batch.collecting,
      isDirect: true,
      now,
    });
    if (contact === "superseded") {
      return [];
    }
    this.#mergeItems(batch, owner, now);
    for (const bucket of batch.buckets) {
      this.#mergeBucket(bucket, now);
    }
    return batch.digests.flatMap((digest) =>
      this.#compareDigest(digest, { sender: owner, now })
    );
  }

  #getLease(
    session: { nodeKey: string; sessionSequence: number },
  ): Lease | undefined {
    const lease = this.#leases.get(session.nodeKey);
    return lease?.sessionSequence === session.sessionSequence
      ? lease
      : undefined;
  }

  #endLease(lease: Lease, now: number): void {
    this.#leases.delete(lease.nodeKey);
    for (const key of lease.targets.keys()) {
      this.#expireTarget(key, now);
    }
    const node = this.#nodes.get(lease.nodeKey);
    if (
      node !== undefined && this.#nodes.getOwner(lease.nodeKey) === this.#owner
    ) {
      this.#nodes.merge({ ...node, update: node.update + 1, state: "gone" }, {
        owner: this.#owner,
        now,
      });
    }
  }

  /** Marks a target as expired unless its node moved to another instance. */
  #expireTarget(key: string, now: number): void {
    const target = this.#targets.get(key);
    if (
      target !== undefined && isLiveTarget(target) &&
      this.#targets.getOwner(key) === this.#owner
    ) {
      this.#targets.merge({ ...target, state: "expired" }, {
        owner: this.#owner,
        now,
      });
    }
  }

  /** Keeps the drained targets of a lost instance as tombstones. */
  #expireDrainedTargets(owner: string, now: number): void {
    for (const target of this.#targets.getLive(owner)) {
      if (isDrained(target)) {
        this.#targets.merge({ ...target, state: "expired" }, { owner, now });
      }
    }
  }

  #extendDeadlines(milliseconds: number): void {
    for (const lease of this.#leases.values()) {
      lease.expiresAt += milliseconds;
      for (const [key, confirmBy] of lease.targets) {
        if (confirmBy !== undefined) {
          lease.targets.set(key, confirmBy + milliseconds);
        }
      }
    }
    this.#owners.extendDeadlines(milliseconds);
  }

  #createBucket({ owner, index }: BucketKey): Bucket {
    return {
      owner,
      index,
      counter: owner === this.#owner
        ? this.#counter
        : this.#owners.getCounter(owner),
      targets: this.#targets.getBucket(owner, index),
      nodes: this.#nodes.getBucket(owner, index),
    };
  }

  #createDigests(): OwnerDigest[] {
    const owners = [
      { owner: this.#owner, counter: this.#counter },
      ...this.#owners.getSynchronized(),
    ];
    return owners.map(({ owner, counter }) => ({
      owner,
      counter,
      buckets: this.#getDigests(owner),
    }));
  }

  #getDigests(owner: string): number[] {
    const nodes = this.#nodes.getDigests(owner);
    return this.#targets.getDigests(owner)
      .map((digest, index) => (digest ^ (nodes[index] ?? 0)) >>> 0);
  }

  #mergeItems(items: DirectoryItems, owner: string, now: number): void {
    for (const target of items.targets) {
      const key = getTargetKey(target);
      const previous = this.#targets.get(key);
      const isOwn = this.#targets.getOwner(key) === this.#owner;
      const order = this.#targets.merge(target, { owner, now });
      if (
        order === "newer" && isOwn && previous !== undefined &&
        isForgottenDrain(previous, target)
      ) {
        this.#forgottenDrains.add(key);
      }
      const isForgotten = previous !== undefined &&
        isForgottenDrain(target, previous);
      if (order === "older" && (isOwn || isForgotten)) {
        // The sender missed the newer record. Digests may not show it, because
        // they do not cover targets that have ended, so it is sent again. The
        // owner of a drained one may have restarted and cannot send it.
        this.#ownTargetChanges.add(key);
      }
    }
    for (const node of items.nodes) {
      const key = getNodeKey(node);
      if (
        this.#nodes.merge(node, { owner, now }) === "older" &&
        this.#nodes.getOwner(key) === this.#owner
      ) {
        this.#ownNodeChanges.add(key);
      }
    }
  }

  #mergeBucket(bucket: Bucket, now: number): void {
    const { owner, index } = bucket;
    if (owner === this.#owner || this.#owners.isSuperseded(owner)) {
      return;
    }
    this.#mergeItems(bucket, owner, now);
    // An older copy may lack items that arrived in a newer batch.
    if (bucket.counter >= this.#owners.getCounter(owner)) {
      const mayDrop = (item: object) => this.#isMissingPastGrace(item, now);
      this.#targets.drop(owner, {
        bucket: index,
        kept: new Set(bucket.targets.map(getTargetKey)),
        mayDrop,
      });
      this.#nodes.drop(owner, {
        bucket: index,
        kept: new Set(bucket.nodes.map(getNodeKey)),
        mayDrop,
      });
    }
  }

  /**
   * Gets whether an item has been missing at its owner for the grace period.
   * Before that, the item may have moved to another instance, and the owner may
   * have received the new record before this instance.
   */
  #isMissingPastGrace(item: object, now: number): boolean {
    const since = this.#missingSince.get(item) ?? now;
    this.#missingSince.set(item, since);
    return now - since >= missingItemGraceMilliseconds;
  }

  #compareDigest(
    digest: OwnerDigest,
    options: { sender: string; now: number },
  ): BucketKey[] {
    const { owner } = digest;
    const { sender, now } = options;
    if (owner === this.#owner) {
      return [];
    }
    const isDirect = owner === sender;
    if (!isDirect) {
      const contact = this.#owners.recordContact(owner, {
        counter: digest.counter,
        isDirect: false,
        now,
      });
      // While the owner is reachable, its own digests are more recent.
      if (contact !== "newer" || this.#owners.isInDirectContact(owner, now)) {
        return [];
      }
    }
    const known = this.#getDigests(owner);
    const differing: BucketKey[] = [];
    for (let index = 0; index < bucketCount; index++) {
      if (digest.buckets[index] !== known[index]) {
        differing.push({ owner, index });
      }
    }
    this.#owners.setSynchronized(owner, differing.length === 0);
    return differing;
  }

  #onTargetChange(change: TableChange<KnownTarget>): void {
    const target = change.current ?? change.previous;
    if (target === undefined) {
      return;
    }
    const key = getTargetKey(target);
    for (const each of [change.previous, change.current]) {
      if (each !== undefined && isLiveTarget(each)) {
        this.#changedServices.set(getServiceKey(each), {
          environment: each.environment,
          service: each.service,
        });
      }
    }
    if (change.previous !== undefined) {
      this.#removeFromService(key, change.previous);
    }
    if (change.current !== undefined && isLiveTarget(change.current)) {
      this.#addToService(key, change.current);
    }
    if (
      change.current !== undefined &&
      this.#targets.getOwner(key) === this.#owner
    ) {
      this.#ownTargetChanges.add(key);
    }
  }

  #addToService(key: string, target: KnownTarget): void {
    const serviceKey = getServiceKey(target);
    const targets = this.#services.get(serviceKey) ?? new Map();
    targets.set(key, target);
    this.#services.set(serviceKey, targets);
  }

  #removeFromService(key: string, target: KnownTarget): void {
    const serviceKey = getServiceKey(target);
    const targets = this.#services.get(serviceKey);
    targets?.delete(key);
    if (targets?.size === 0) {
      this.#services.delete(serviceKey);
    }
  }

  #onNodeChange({ current }: TableChange<NodeRecord>): void {
    if (current === undefined) {
      return;
    }
    const key = getNodeKey(current);
    if (this.#nodes.getOwner(key) === this.#owner) {
      this.#ownNodeChanges.add(key);
    }
  }
}

function getInstanceId(owner: string): string {
  return owner.slice(0, owner.lastIndexOf("#"));
}

function getItems<Item>(
  table: ReplicatedTable<Item>,
  keys: ReadonlySet<string>,
): Item[] {
  const items: Item[] = [];
  for (const key of keys) {
    const item = table.get(key);
    if (item !== undefined) {
      items.push(item);
    }
  }
  return items;
}
