import {
  getLinkKey,
  linkBudgetFractions,
  type LinkDemandEntry,
  type RegionLink,
} from "./link_budget_rounds.ts";

/** Bytes that a node sent over a link since its last report. */
export interface LinkBytes {
  readonly fromRegion: string;
  readonly toRegion: string;
  readonly bytes: number;
}

/** What a node may send over a link. */
export interface LinkShare {
  readonly fromRegion: string;
  readonly toRegion: string;
  readonly bytesPerSecond: number;
  /** What the node may send while it has no lease. */
  readonly floorBytesPerSecond: number;
}

/** A link of a document and its budget. */
export interface BudgetedLink {
  readonly from: string;
  readonly to: string;
  readonly bytesPerSecond: number;
}

interface NodeLink {
  rate: number;
  /** Share that was last sent to the node. */
  share: number;
  /**
   * Highest share that the node may still use; an earlier, higher share counts
   * until the node confirms the lower one.
   */
  reserved: number;
}

interface NodeEntry {
  readonly environment: string;
  readonly region: string;
  reportedAt: number | undefined;
  readonly links: Map<string, NodeLink>;
}

interface LinkState extends RegionLink {
  budget: number;
  /** Sum of `reserved` over the nodes. */
  reserved: number;
  rate: number;
  readonly nodes: Set<string>;
}

// Weight of a newly reported rate: with 0.5, two renewals follow a lasting
// change and a single burst does not dominate the rate.
const rateSmoothingFactor = 0.5;
// Relative change below which a share is neither updated nor sent.
const shareChangeThreshold = 0.05;

/**
 * Divides one instance's portions of the link budgets between its nodes, by the
 * rates at which they send. A share grows only by what other nodes have
 * confirmed to give up, so the shares in use never add up to more than the
 * portion.
 */
export class LinkShareAllocator {
  readonly #getPortion: (linkKey: string) => number;
  readonly #getInstanceCount: () => number;
  readonly #nodes = new Map<string, NodeEntry>();
  readonly #links = new Map<string, LinkState>();

  /**
   * @param options How to get the instance's portion of the shared part of a
   * budget, and the number of instances that divide the fixed part evenly.
   */
  constructor(
    options: {
      getPortion: (linkKey: string) => number;
      getInstanceCount: () => number;
    },
  ) {
    this.#getPortion = options.getPortion;
    this.#getInstanceCount = options.getInstanceCount;
  }

  /**
   * Sets the links of an environment. A budget applies to each direction.
   * @param environment The environment.
   * @param links The links of its document.
   */
  setLinks(environment: string, links: readonly BudgetedLink[]): void {
    const kept = new Set<string>();
    for (const { from, to, bytesPerSecond } of links) {
      for (const [fromRegion, toRegion] of [[from, to], [to, from]] as const) {
        const name = { environment, fromRegion, toRegion };
        const key = getLinkKey(name);
        kept.add(key);
        const known = this.#links.get(key);
        if (known !== undefined) {
          known.budget = bytesPerSecond;
        } else {
          this.#addLink(key, name, bytesPerSecond);
        }
      }
    }
    for (const [key, link] of this.#links) {
      if (link.environment === environment && !kept.has(key)) {
        this.#links.delete(key);
        this.#nodes.forEach((node) => node.links.delete(key));
      }
    }
  }

  /**
   * Adds a node whose lease was opened here.
   * @param nodeKey The node.
   * @param location Its environment and region.
   */
  addNode(
    nodeKey: string,
    location: { environment: string; region: string },
  ): void {
    if (this.#nodes.has(nodeKey)) {
      return;
    }
    const node: NodeEntry = {
      ...location,
      reportedAt: undefined,
      links: new Map(),
    };
    this.#nodes.set(nodeKey, node);
    for (const [key, link] of this.#links) {
      this.#attachLink(nodeKey, node, { key, link });
    }
  }

  /** Removes a node whose lease ended. */
  removeNode(nodeKey: string): void {
    const node = this.#nodes.get(nodeKey);
    this.#nodes.delete(nodeKey);
    for (const [key, nodeLink] of node?.links ?? []) {
      const link = this.#links.get(key);
      if (link !== undefined) {
        link.nodes.delete(nodeKey);
        link.reserved -= nodeLink.reserved;
        link.rate -= nodeLink.rate;
      }
    }
  }

  /**
   * Records the report that a node sends with its lease renewal.
   * @param nodeKey The node.
   * @param report Bytes sent since its last report, whether it has received the
   * shares last sent to it, and the monotonic time.
   */
  receiveReport(
    nodeKey: string,
    report: {
      linkBytes: readonly LinkBytes[];
      hasLastShares: boolean;
      now: number;
    },
  ): void {
    const node = this.#nodes.get(nodeKey);
    if (node === undefined) {
      return;
    }
    const bytes = new Map(report.linkBytes.map((entry) => [
      getLinkKey({ environment: node.environment, ...entry }),
      entry.bytes,
    ]));
    // The first report sets no rate, because it may include bytes of an earlier
    // session.
    const seconds = node.reportedAt === undefined
      ? 0
      : (report.now - node.reportedAt) / 1000;
    node.reportedAt = report.now;
    for (const [key, nodeLink] of node.links) {
      const link = this.#links.get(key);
      if (link === undefined) {
        continue;
      }
      if (seconds > 0) {
        const rate = (bytes.get(key) ?? 0) / seconds;
        const change = (rate - nodeLink.rate) * rateSmoothingFactor;
        nodeLink.rate += change;
        link.rate += change;
      }
      if (report.hasLastShares) {
        link.reserved += nodeLink.share - nodeLink.reserved;
        nodeLink.reserved = nodeLink.share;
      }
    }
  }

  /**
   * Updates the shares of a node on all links of its region.
   * @param nodeKey The node.
   * @param options Whether to get the shares even if they did not change.
   * @returns The shares to send to the node, or `undefined` without a change.
   */
  updateShares(
    nodeKey: string,
    options: { isForced?: boolean } = {},
  ): LinkShare[] | undefined {
    const node = this.#nodes.get(nodeKey);
    if (node === undefined || node.links.size === 0) {
      return undefined;
    }
    let isChanged = options.isForced ?? false;
    const shares: LinkShare[] = [];
    for (const [key, nodeLink] of node.links) {
      const link = this.#links.get(key);
      if (link === undefined) {
        continue;
      }
      const floor = link.budget * linkBudgetFractions.fixed /
        this.#getInstanceCount() / link.nodes.size;
      isChanged = this.#updateShare(key, { link, nodeLink, floor }) ||
        isChanged;
      shares.push({
        fromRegion: link.fromRegion,
        toRegion: link.toRegion,
        bytesPerSecond: Math.floor(nodeLink.share),
        floorBytesPerSecond: Math.floor(floor),
      });
    }
    return isChanged ? shares : undefined;
  }

  /** Gets the demand of this instance's nodes on all links. */
  getDemand(): LinkDemandEntry[] {
    return [...this.#links.values()].map((link) => ({
      environment: link.environment,
      fromRegion: link.fromRegion,
      toRegion: link.toRegion,
      demandBytesPerSecond: Math.max(Math.round(link.rate), 0),
      budgetBytesPerSecond: link.budget,
    }));
  }

  #addLink(key: string, name: RegionLink, budget: number): void {
    const link: LinkState = {
      ...name,
      budget,
      reserved: 0,
      rate: 0,
      nodes: new Set(),
    };
    this.#links.set(key, link);
    for (const [nodeKey, node] of this.#nodes) {
      this.#attachLink(nodeKey, node, { key, link });
    }
  }

  /** Adds a link to a node if the node's region is at one of its ends. */
  #attachLink(
    nodeKey: string,
    node: NodeEntry,
    { key, link }: { key: string; link: LinkState },
  ): void {
    if (
      node.environment === link.environment &&
      (node.region === link.fromRegion || node.region === link.toRegion)
    ) {
      node.links.set(key, { rate: 0, share: 0, reserved: 0 });
      link.nodes.add(nodeKey);
    }
  }

  #updateShare(
    key: string,
    options: { link: LinkState; nodeLink: NodeLink; floor: number },
  ): boolean {
    const { link, nodeLink, floor } = options;
    const count = link.nodes.size;
    const portion = this.#getPortion(key) + floor * count;
    const ratio = link.rate > 0 ? nodeLink.rate / link.rate : 1 / count;
    const desired = floor + (portion - floor * count) * ratio;
    const available = portion - link.reserved;
    const share = Math.max(Math.min(desired, nodeLink.reserved + available), 0);
    if (
      Math.abs(share - nodeLink.share) <
        nodeLink.share * shareChangeThreshold &&
      available >= 0
    ) {
      return false;
    }
    const isChanged = share !== nodeLink.share;
    nodeLink.share = share;
    const reserved = Math.max(nodeLink.reserved, share);
    link.reserved += reserved - nodeLink.reserved;
    nodeLink.reserved = reserved;
    return isChanged;
  }
}
