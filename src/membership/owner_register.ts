/** What was heard from one process of a control instance. */
interface Owner {
  readonly instanceId: string;
  readonly boot: number;
  counter: number;
  heardAt: number;
  heardDirectlyAt: number;
  collecting: boolean;
  /** Whether the items kept here match the owner's digests. */
  synchronized: boolean;
  lost: boolean;
}

// Two digest intervals: after that, news of an owner also comes by others.
const directMilliseconds = 4000;

/**
 * Tracks which processes of control instances are alive. An owner is named
 * `instance#boot`, so that a restarted instance, which knows no targets yet,
 * is not confused with its earlier process, whose targets are still moving.
 */
export class OwnerRegister {
  readonly #owners = new Map<string, Owner>();
  readonly #boots = new Map<string, number>();
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
   * Records a sign of life.
   * @param name The owner.
   * @param news Its counter, and whether it came from the owner itself.
   * @returns Whether it was newer than what was known, a repetition, or of a
   * process that was replaced.
   */
  hear(
    name: string,
    news: {
      counter: number;
      collecting?: boolean;
      isDirect: boolean;
      now: number;
    },
  ): "newer" | "repeated" | "superseded" {
    if (this.isSuperseded(name)) {
      return "superseded";
    }
    const owner = this.#getOrCreate(name, news.now);
    if (news.counter <= owner.counter) {
      return "repeated";
    }
    owner.counter = news.counter;
    owner.heardAt = news.now;
    owner.lost = false;
    owner.collecting = news.collecting ?? owner.collecting;
    if (news.isDirect) {
      owner.heardDirectlyAt = news.now;
    }
    return "newer";
  }

  /** Gets whether a newer process of the same instance was heard. */
  isSuperseded(name: string): boolean {
    const { instanceId, boot } = parseOwner(name);
    return instanceId === this.#instanceId ||
      boot < (this.#boots.get(instanceId) ?? 0);
  }

  getCounter(name: string): number {
    return this.#owners.get(name)?.counter ?? 0;
  }

  isHeardDirectly(name: string, now: number): boolean {
    const owner = this.#owners.get(name);
    return owner !== undefined &&
      now - owner.heardDirectlyAt <= directMilliseconds;
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
   * Gets the owners whose grace just ended. They stay known, so that old news
   * of them that others repeat does not bring them back.
   */
  takeLost(now: number): string[] {
    const lost: string[] = [];
    for (const [name, owner] of this.#owners) {
      if (!owner.lost && now - owner.heardAt > this.#graceMilliseconds) {
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
      const owner = this.#owners.get(`${peer}#${this.#boots.get(peer)}`);
      return owner !== undefined && owner.synchronized && !owner.collecting;
    });
  }

  /** Adds time during which this process could hear nothing. */
  extendAll(milliseconds: number): void {
    for (const owner of this.#owners.values()) {
      owner.heardAt += milliseconds;
    }
    this.#collectingUntil += milliseconds;
  }

  #getOrCreate(name: string, now: number): Owner {
    const known = this.#owners.get(name);
    if (known !== undefined) {
      return known;
    }
    const { instanceId, boot } = parseOwner(name);
    this.#boots.set(
      instanceId,
      Math.max(boot, this.#boots.get(instanceId) ?? 0),
    );
    const created: Owner = {
      instanceId,
      boot,
      counter: 0,
      heardAt: now,
      heardDirectlyAt: Number.NEGATIVE_INFINITY,
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
