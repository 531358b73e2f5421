/** Liveness and synchronization of one process of a control instance. */
interface Owner {
  readonly instanceId: string;
  readonly boot: number;
  counter: number;
  lastContactAt: number;
  lastDirectContactAt: number;
  /** Whether the owner may not know all targets yet. */
  collecting: boolean;
  /** Whether the items stored here match the owner's digests. */
  synchronized: boolean;
  /** Whether the grace period since the last contact has passed. */
  lost: boolean;
}

// Two digest intervals. Without direct contact with an owner for this long, its
// digests that other instances relay are compared as well.
const directContactTimeoutMilliseconds = 4000;

/**
 * Tracks which processes of control instances are alive. An owner is named
 * `instance#boot`, so that a restarted instance, which knows no targets yet,
 * is not confused with its earlier process, whose nodes are still moving to
 * other instances.
 */
export class OwnerTracker {
  readonly #owners = new Map<string, Owner>();
  readonly #newestBoots = new Map<string, number>();
  readonly #instanceId: string;
  readonly #graceMilliseconds: number;
  #collectingUntil: number;

  constructor(
    options: { instanceId: string; graceMilliseconds: number; now: number },
  ) {
    this.#instanceId = options.instanceId;
    this.#graceMilliseconds = options.graceMilliseconds;
    this.#collectingUntil = options.now + options.graceMilliseconds;
  }

  /**
   * Records contact with an owner, direct or relayed by another instance.
   * @param name The owner.
   * @param contact The owner's counter, and whether the message came from the
   * owner itself.
   * @returns Whether the counter is newer than the known one, repeated, or from
   * a process that was replaced.
   */
  recordContact(
    name: string,
    contact: {
      counter: number;
      collecting?: boolean;
      isDirect: boolean;
      now: number;
    },
  ): "newer" | "repeated" | "superseded" {
    if (this.isSuperseded(name)) {
      return "superseded";
    }
    const owner = this.#getOrCreate(name, contact.now);
    if (contact.counter <= owner.counter) {
      return "repeated";
    }
    owner.counter = contact.counter;
    owner.lastContactAt = contact.now;
    owner.lost = false;
    owner.collecting = contact.collecting ?? owner.collecting;
    if (contact.isDirect) {
      owner.lastDirectContactAt = contact.now;
    }
    return "newer";
  }

  /**
   * Gets whether a newer process of the same instance is known. True for all
   * processes of this instance.
   */
  isSuperseded(name: string): boolean {
    const { instanceId, boot } = parseOwner(name);
    return instanceId === this.#instanceId ||
      boot < (this.#newestBoots.get(instanceId) ?? 0);
  }

  getCounter(name: string): number {
    return this.#owners.get(name)?.counter ?? 0;
  }

  isInDirectContact(name: string, now: number): boolean {
    const owner = this.#owners.get(name);
    return owner !== undefined &&
      now - owner.lastDirectContactAt <= directContactTimeoutMilliseconds;
  }

  setSynchronized(name: string, synchronized: boolean): void {
    const owner = this.#owners.get(name);
    if (owner !== undefined) {
      owner.synchronized = synchronized;
    }
  }

  /** Gets the live owners whose items are known here in full. */
  getSynchronized(): { owner: string; counter: number }[] {
    return [...this.#owners]
      .filter(([, owner]) => owner.synchronized && !owner.lost)
      .map(([name, owner]) => ({ owner: name, counter: owner.counter }));
  }

  /**
   * Marks owners as lost when the grace period since the last contact has
   * passed, and gets those newly marked. A lost owner stays recorded until a
   * newer process of its instance is known, so that old digests of it that
   * other instances still relay do not revive it.
   */
  takeLostOwners(now: number): string[] {
    const lost: string[] = [];
    for (const [name, owner] of this.#owners) {
      if (!owner.lost && now - owner.lastContactAt > this.#graceMilliseconds) {
        owner.lost = true;
        owner.synchronized = false;
        lost.push(name);
      }
      if (owner.lost && this.isSuperseded(name)) {
        this.#owners.delete(name);
      }
    }
    return lost;
  }

  /** Gets whether the targets of some peer may not be known yet. */
  isCollecting(peers: readonly string[], now: number): boolean {
    if (now >= this.#collectingUntil) {
      return false;
    }
    return peers.length === 0 || !peers.every((peer) => {
      const owner = this.#getNewest(peer);
      return owner !== undefined && owner.synchronized && !owner.collecting;
    });
  }

  /** Gets whether the items of each peer's newest process are known in full. */
  isSynchronizedWith(peers: readonly string[]): boolean {
    return peers.every((peer) => this.#getNewest(peer)?.synchronized === true);
  }

  /**
   * Extends all deadlines by a pause in which this process received nothing.
   */
  extendDeadlines(milliseconds: number): void {
    for (const owner of this.#owners.values()) {
      owner.lastContactAt += milliseconds;
    }
    this.#collectingUntil += milliseconds;
  }

  /** Gets the newest known process of an instance. */
  #getNewest(instanceId: string): Owner | undefined {
    return this.#owners.get(
      `${instanceId}#${this.#newestBoots.get(instanceId)}`,
    );
  }

  #getOrCreate(name: string, now: number): Owner {
    const known = this.#owners.get(name);
    if (known !== undefined) {
      return known;
    }
    const { instanceId, boot } = parseOwner(name);
    this.#newestBoots.set(
      instanceId,
      Math.max(boot, this.#newestBoots.get(instanceId) ?? 0),
    );
    const created: Owner = {
      instanceId,
      boot,
      counter: 0,
      lastContactAt: now,
      lastDirectContactAt: Number.NEGATIVE_INFINITY,
      collecting: true,
      synchronized: false,
      lost: false,
    };
    this.#owners.set(name, created);
    return created;
  }
}

function parseOwner(name: string): { instanceId: string; boot: number } {
  const split = name.lastIndexOf("#");
  return {
    instanceId: name.slice(0, split),
    boot: Number(name.slice(split + 1)),
  };
}
