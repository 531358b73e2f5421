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
  /** What the node was last told. */
  share: number;
  /** What it may still use, because it has not confirmed a lower share. */
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
  /** Sum of `counted` over the nodes. */
  reserved: number;
  rate: number;
  readonly nodes: Set<string>;
}

// Half of each new rate: two renewals follow a change, one burst does not.
const rateSmoothingFactor = 0.5;
// A share that would grow or shrink by less stays, and is not sent.
const shareChangeThreshold = 0.05;

/**
 * Adds up the bytes that the nodes of one instance send over links, and divides
 * the instance's portions between them. A share grows only by what other nodes
 * gave back, so the shares in use never sum to more than the portion.
 */
export class LinkShareAllocator {
  readonly #getPortion: (linkKey: string) => number;
  readonly #getInstanceCount: () => number;
  readonly #nodes = new Map<string, NodeEntry>();
  readonly #links = new Map<string, LinkState>();

  /**
   * @param options How to get the instance's portion of the shared part, and the number
   * of instances among which the fixed part of budgets is divided.
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
   * Sets the links of an environment. A budget holds for each direction.
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
   * @param place Its environment and region.
   */
  addNode(
    nodeKey: string,
    place: { environment: string; region: string },
  ): void {
    if (this.#nodes.has(nodeKey)) {
      return;
    }
    const node: NodeEntry = {
      ...place,
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
   * Takes in a node's report with its renewal.
   * @param nodeKey The node.
   * @param report What it sent since its last report, whether it has the
   * shares that it was last told, and the monotonic time.
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
    // The first report may cover the time of an earlier session.
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
   * Gets the shares to tell a node, all links of its region.
   * @param nodeKey The node.
   * @param options Whether to get them even if they did not change.
   * @returns The shares, or `undefined` when they are what the node knows.
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

  /** Gives a node a link if its region is at one of the ends. */
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
    const wanted = floor + (portion - floor * count) * ratio;
    const free = portion - link.reserved;
    const share = Math.max(Math.min(wanted, nodeLink.reserved + free), 0);
    if (
      Math.abs(share - nodeLink.share) <
        nodeLink.share * shareChangeThreshold &&
      free >= 0
    ) {
      return false;
    }
    const isChanged = share !== nodeLink.share;
    nodeLink.share = share;
    const counted = Math.max(nodeLink.reserved, share);
    link.reserved += counted - nodeLink.reserved;
    nodeLink.reserved = counted;
    return isChanged;
  }
}
