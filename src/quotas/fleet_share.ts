/** Place of a node among all nodes. */
export interface NodePlace {
  readonly index: number;
  readonly count: number;
}

interface OwnNode {
  /** Time from which on no other instance counts the node. */
  readonly countableFrom: number;
  heardAt: number;
  /** Whether the node knows that this instance counts it. */
  isConfirmed: boolean;
}

/**
 * Time without a message after which an instance no longer counts a node; more
 * than a renewal interval of 2 s.
 */
const countedMilliseconds = 2500;
/**
 * Time after the end of a session at which its instance certainly counts the
 * node no longer: another instance counts it only from then on, and a node without
 * contact refills its floor only from then on. The difference to the time above
 * covers messages on their way.
 */
export const handoverMilliseconds = 3000;
/**
 * Longest time for which a share may be used without being computed again. A node
 * that was counted then is counted by no other instance earlier.
 */
export const shareValidityMilliseconds = handoverMilliseconds -
  countedMilliseconds;
/**
 * Time after the first session of a process in which all instances learn of the
 * node; they push their changes every 200 ms. Its earlier process, if any, ended
 * its connections when it ended.
 */
const announcementMilliseconds = 1000;
/**
 * Time for which a node that no instance knows any more is counted among all
 * nodes. It may be cut off and use its floor.
 */
const missingNodeMilliseconds = 600_000;

/**
 * Computes the share of an instance in all quotas: the nodes that it counts,
 * divided by all nodes. At no time do two instances count a node, nor does an
 * instance count a node that refills its floor, so the shares and the floors never
 * add up to more than 1.
 */
export class FleetShare {
  readonly #ownNodes = new Map<string, OwnNode>();
  /** Time at which each node was last known. */
  readonly #knownNodes = new Map<string, number>();
  #places: Map<string, number> | undefined;
  #isComplete = false;

  /**
   * Adds a node whose session was opened here.
   * @param nodeKey The node.
   * @param session Whether it is the first one of the node's process, and the
   * time.
   */
  addNode(
    nodeKey: string,
    { isFirst, now }: { isFirst: boolean; now: number },
  ): void {
    this.#ownNodes.set(nodeKey, {
      countableFrom: now +
        (isFirst ? announcementMilliseconds : handoverMilliseconds),
      heardAt: now,
      isConfirmed: false,
    });
    this.#addKnownNode(nodeKey, now);
  }

  /**
   * Records a message of a node.
   * @param nodeKey The node.
   * @param message The time, and whether it confirms that the node knows its
   * place.
   */
  receiveMessage(
    nodeKey: string,
    message: { now: number; confirmsPlace: boolean },
  ): void {
    const node = this.#ownNodes.get(nodeKey);
    if (node !== undefined) {
      node.heardAt = message.now;
      node.isConfirmed ||= message.confirmsPlace;
    }
  }

  /** Removes a node whose session ended here. */
  removeNode(nodeKey: string): void {
    this.#ownNodes.delete(nodeKey);
  }

  /** Removes a node that stopped and uses no permits any more. */
  forgetNode(nodeKey: string): void {
    this.removeNode(nodeKey);
    this.#knownNodes.delete(nodeKey);
    this.#places = undefined;
  }

  /**
   * Updates the nodes that are known.
   * @param nodeKeys All nodes with a lease.
   * @param state Whether no node with a lease can be missing, whether this
   * instance is available, and the time.
   */
  updateKnownNodes(
    nodeKeys: Iterable<string>,
    state: { isComplete: boolean; isAvailable: boolean; now: number },
  ): void {
    this.#isComplete ||= state.isComplete;
    for (const nodeKey of nodeKeys) {
      this.#addKnownNode(nodeKey, state.now);
    }
    // An instance that is not available cannot know which nodes still run.
    for (
      const [nodeKey, knownAt] of state.isAvailable ? this.#knownNodes : []
    ) {
      if (state.now - knownAt > missingNodeMilliseconds) {
        this.#knownNodes.delete(nodeKey);
        this.#places = undefined;
      }
    }
  }

  /** Gets the share; 0 until all nodes are known after a start. */
  getShare(now: number): number {
    if (!this.#isComplete || this.#knownNodes.size === 0) {
      return 0;
    }
    let counted = 0;
    for (const node of this.#ownNodes.values()) {
      const isCounted = node.isConfirmed &&
        now >= node.countableFrom &&
        now - node.heardAt <= countedMilliseconds;
      counted += isCounted ? 1 : 0;
    }
    return counted / this.#knownNodes.size;
  }

  /**
   * Gets the place of a node, by which it computes its floors.
   * @param nodeKey The node.
   * @returns The place; `undefined` until all nodes are known.
   */
  getPlace(nodeKey: string): NodePlace | undefined {
    this.#places ??= new Map(
      [...this.#knownNodes.keys()].sort().map((key, index) => [key, index]),
    );
    const index = this.#places.get(nodeKey);
    return this.#isComplete && index !== undefined
      ? { index, count: this.#knownNodes.size }
      : undefined;
  }

  #addKnownNode(nodeKey: string, now: number): void {
    if (!this.#knownNodes.has(nodeKey)) {
      this.#places = undefined;
    }
    this.#knownNodes.set(nodeKey, now);
  }
}
