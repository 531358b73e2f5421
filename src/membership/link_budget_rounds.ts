/** A pair of regions in one environment. */
export interface RegionLink {
  readonly environment: string;
  readonly fromRegion: string;
  readonly toRegion: string;
}

/** What the nodes of one instance send over a link, and what all may send. */
export interface LinkDemandEntry extends RegionLink {
  readonly demandBytesPerSecond: number;
  readonly budgetBytesPerSecond: number;
}

/** Demand of one instance for the last rounds. */
export interface LinkDemandReport {
  /** Start of the instance's process; larger is newer. */
  readonly boot: number;
  /** Rounds up to this one count as zero for this process. */
  readonly zeroThrough: number;
  readonly rounds: readonly {
    readonly round: number;
    readonly entries: readonly LinkDemandEntry[];
  }[];
}

/** Parts of a link's budget. */
export const linkBudgetFractions = {
  /** Divided evenly between instances, whatever the demand. */
  fixed: 0.1,
  /** Divided between instances by demand. */
  shared: 0.8,
  // The rest is kept for nodes without a lease, which send at their floor.
} as const;

interface Member {
  boot: number;
  zeroThrough: number;
  readonly rounds: Map<number, readonly LinkDemandEntry[]>;
}

// As long as a lease: after a round, each node either knows its lower share or
// has fallen back to its floor.
const defaultRoundMilliseconds = 6000;

/** Gets the key of a link. */
export function getLinkKey(link: RegionLink): string {
  return `${link.environment}\0${link.fromRegion}\0${link.toRegion}`;
}

/**
 * Divides link budgets between control instances without a majority, so that
 * the portions in use never sum to more than the budget.
 *
 * Instances go through numbered rounds. One enters a round when it has the
 * demand of all members for it, and publishes its own demand for the next round
 * then, so that no two are more than one round apart. Members compute the same
 * portions for a round. Each uses the lower of its portions in the last two
 * rounds; thus what is in use fits into the portions of a round that all share.
 * When a member cannot be heard, the portions stay as they are.
 */
export class LinkBudgetRounds {
  readonly #roundMilliseconds: number;
  readonly #members = new Map<string, Member>();
  readonly #own: Member;
  #isJoined = false;
  #round = 0;
  #enteredAt: number;
  #portions = new Map<string, number>();
  #previousPortions = new Map<string, number>();

  constructor(
    options: {
      boot: number;
      now: number;
      roundMilliseconds?: number;
    },
  ) {
    this.#roundMilliseconds = options.roundMilliseconds ??
      defaultRoundMilliseconds;
    this.#enteredAt = options.now;
    this.#own = { boot: options.boot, zeroThrough: 0, rounds: new Map() };
  }

  /** Gets the round that this instance is in. */
  get round(): number {
    return this.#round;
  }

  /**
   * Takes in the demand of another instance; may be repeated or late.
   * @param instanceId The instance.
   * @param news Its demand.
   */
  receive(instanceId: string, news: LinkDemandReport): void {
    let member = this.#members.get(instanceId);
    if (member !== undefined && news.boot < member.boot) {
      return;
    }
    if (member === undefined || news.boot > member.boot) {
      member = { boot: news.boot, zeroThrough: 0, rounds: new Map() };
      this.#members.set(instanceId, member);
    }
    member.zeroThrough = Math.max(member.zeroThrough, news.zeroThrough);
    for (const { round, entries } of news.rounds) {
      member.rounds.set(round, entries);
    }
  }

  /**
   * Enters the next round if it can.
   * @param options The other members, the own demand now, and the monotonic
   * time.
   */
  advance(
    options: {
      peers: readonly string[];
      getEntries: () => readonly LinkDemandEntry[];
      now: number;
    },
  ): void {
    const { peers, now } = options;
    if (peers.length === 0) {
      this.#portions = getPortions([options.getEntries()]);
      this.#previousPortions = this.#portions;
      return;
    }
    const others = peers.map((peer) => this.#members.get(peer));
    if (!others.every((each) => each !== undefined)) {
      return;
    }
    if (!this.#isJoined) {
      this.#join(others);
    }
    const next = this.#round + 1;
    const tables = [this.#own, ...others].map((member) =>
      getTable(member, next)
    );
    if (
      now - this.#enteredAt < this.#roundMilliseconds ||
      !tables.every((table) => table !== undefined)
    ) {
      return;
    }
    this.#round = next;
    this.#enteredAt = now;
    this.#previousPortions = this.#portions;
    this.#portions = next <= this.#own.zeroThrough
      ? new Map()
      : getPortions(tables);
    if (next + 1 > this.#own.zeroThrough) {
      this.#own.rounds.set(next + 1, options.getEntries());
    }
    for (const member of [this.#own, ...others]) {
      for (const round of member.rounds.keys()) {
        if (round < next) {
          member.rounds.delete(round);
        }
      }
    }
  }

  /** Gets what to tell the other instances. */
  createReport(): LinkDemandReport {
    return {
      boot: this.#own.boot,
      zeroThrough: this.#own.zeroThrough,
      rounds: [...this.#own.rounds]
        .map(([round, entries]) => ({ round, entries })),
    };
  }

  /** Gets the portion of the shared part of a link's budget. */
  getPortion(linkKey: string): number {
    return Math.min(
      this.#portions.get(linkKey) ?? 0,
      this.#previousPortions.get(linkKey) ?? 0,
    );
  }

  /**
   * Starts at the round of the others. An earlier process of this instance may
   * have published demand for rounds up to one after theirs, so this one takes
   * nothing in those.
   */
  #join(others: readonly Member[]): void {
    const published = others.map(getLastRound);
    this.#own.zeroThrough = Math.max(0, ...published) + 1;
    const started = published.filter((round) => round > 0);
    this.#round = started.length === 0 ? 0 : Math.min(...started) - 1;
    this.#isJoined = true;
  }
}

function getLastRound(member: Member): number {
  return Math.max(0, member.zeroThrough, ...member.rounds.keys());
}

function getTable(
  member: Member,
  round: number,
): readonly LinkDemandEntry[] | undefined {
  return member.rounds.get(round) ??
    (round <= member.zeroThrough ? [] : undefined);
}

/** Gets the portions of the first of some members. */
function getPortions(
  tables: readonly (readonly LinkDemandEntry[])[],
): Map<string, number> {
  const sums = new Map<string, { demand: number; budget: number }>();
  for (const entry of tables.flat()) {
    const sum = sums.get(getLinkKey(entry));
    sums.set(getLinkKey(entry), {
      demand: (sum?.demand ?? 0) + entry.demandBytesPerSecond,
      budget: Math.min(sum?.budget ?? Infinity, entry.budgetBytesPerSecond),
    });
  }
  const portions = new Map<string, number>();
  for (const entry of tables[0] ?? []) {
    const sum = sums.get(getLinkKey(entry));
    if (sum !== undefined) {
      const ratio = sum.demand > 0
        ? entry.demandBytesPerSecond / sum.demand
        : 1 / tables.length;
      portions.set(
        getLinkKey(entry),
        sum.budget * linkBudgetFractions.shared * ratio,
      );
    }
  }
  return portions;
}
