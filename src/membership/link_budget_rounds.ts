/** A pair of regions in one environment. */
export interface RegionLink {
  readonly environment: string;
  readonly fromRegion: string;
  readonly toRegion: string;
}

/** Demand of one instance's nodes on a link, and the budget of the link. */
export interface LinkDemandEntry extends RegionLink {
  readonly demandBytesPerSecond: number;
  readonly budgetBytesPerSecond: number;
}

/** Demand of one instance for the last rounds. */
export interface LinkDemandReport {
  /** Start of the instance's process; larger is newer. */
  readonly boot: number;
  /** Up to this round, the demand of this process counts as zero. */
  readonly zeroThrough: number;
  readonly rounds: readonly {
    readonly round: number;
    readonly entries: readonly LinkDemandEntry[];
  }[];
}

/** Fractions of a link's budget. */
export const linkBudgetFractions = {
  /** Divided evenly between instances, whatever the demand. */
  fixed: 0.1,
  /** Divided between instances by demand. */
  shared: 0.8,
  // The rest is reserved for nodes without a lease, which send at their floor.
} as const;

interface MemberDemand {
  boot: number;
  zeroThrough: number;
  readonly rounds: Map<number, readonly LinkDemandEntry[]>;
}

// Equal to the lease time: by the end of a round, each node has either received
// its lower share, or lost its lease and fallen back to its floor.
const defaultRoundMilliseconds = 6000;

/** Gets the key of a link. */
export function getLinkKey(link: RegionLink): string {
  return `${link.environment}\0${link.fromRegion}\0${link.toRegion}`;
}

/**
 * Divides link budgets between control instances without consensus, such that
 * the portions in use never add up to more than the budget.
 *
 * Instances advance through numbered rounds. An instance enters a round when it
 * has the demand of all members for that round. Only then does it publish its
 * own demand for the next round, so no two instances are more than one round
 * apart. All members compute the portions of a round from the same demand. Each
 * uses the lower of its portions in its last two rounds. As all instances have
 * one of these rounds in common, the portions in use fit into those of the
 * common round. While a member is unreachable, the portions stay as they are.
 */
export class LinkBudgetRounds {
  readonly #roundMilliseconds: number;
  readonly #members = new Map<string, MemberDemand>();
  readonly #own: MemberDemand;
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
   * Records the demand of another instance. Reports may arrive repeated or
   * late.
   * @param instanceId The instance.
   * @param report Its demand.
   */
  receive(instanceId: string, report: LinkDemandReport): void {
    let member = this.#members.get(instanceId);
    if (member !== undefined && report.boot < member.boot) {
      return;
    }
    if (member === undefined || report.boot > member.boot) {
      member = { boot: report.boot, zeroThrough: 0, rounds: new Map() };
      this.#members.set(instanceId, member);
    }
    member.zeroThrough = Math.max(member.zeroThrough, report.zeroThrough);
    for (const { round, entries } of report.rounds) {
      member.rounds.set(round, entries);
    }
  }

  /**
   * Enters the next round if the current one has lasted long enough and the
   * demand of all members is known.
   * @param options The other members, the current own demand, and the monotonic
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
    const demands = [this.#own, ...others].map((member) =>
      getDemand(member, next)
    );
    if (
      now - this.#enteredAt < this.#roundMilliseconds ||
      !demands.every((demand) => demand !== undefined)
    ) {
      return;
    }
    this.#round = next;
    this.#enteredAt = now;
    this.#previousPortions = this.#portions;
    this.#portions = next <= this.#own.zeroThrough
      ? new Map()
      : getPortions(demands);
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

  /** Creates the report for the other instances. */
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
   * Joins the rounds of the other members. An earlier process of this instance
   * may have published demand for rounds up to one after theirs, so this
   * process uses no portion in those rounds.
   */
  #join(others: readonly MemberDemand[]): void {
    const published = others.map(getLastPublishedRound);
    this.#own.zeroThrough = Math.max(0, ...published) + 1;
    const started = published.filter((round) => round > 0);
    this.#round = started.length === 0 ? 0 : Math.min(...started) - 1;
    this.#isJoined = true;
  }
}

function getLastPublishedRound(member: MemberDemand): number {
  return Math.max(0, member.zeroThrough, ...member.rounds.keys());
}

function getDemand(
  member: MemberDemand,
  round: number,
): readonly LinkDemandEntry[] | undefined {
  return member.rounds.get(round) ??
    (round <= member.zeroThrough ? [] : undefined);
}

/** Gets the portions of the first member from the demand of all members. */
function getPortions(
  demands: readonly (readonly LinkDemandEntry[])[],
): Map<string, number> {
  const sums = new Map<string, { demand: number; budget: number }>();
  for (const entry of demands.flat()) {
    const sum = sums.get(getLinkKey(entry));
    sums.set(getLinkKey(entry), {
      demand: (sum?.demand ?? 0) + entry.demandBytesPerSecond,
      budget: Math.min(sum?.budget ?? Infinity, entry.budgetBytesPerSecond),
    });
  }
  const portions = new Map<string, number>();
  for (const entry of demands[0] ?? []) {
    const sum = sums.get(getLinkKey(entry));
    if (sum !== undefined) {
      const ratio = sum.demand > 0
        ? entry.demandBytesPerSecond / sum.demand
        : 1 / demands.length;
      portions.set(
        getLinkKey(entry),
        sum.budget * linkBudgetFractions.shared * ratio,
      );
    }
  }
  return portions;
}
