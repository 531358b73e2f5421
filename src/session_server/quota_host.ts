import type { Clock, Log, Metrics } from "../common/mod.ts";
import { type EnvironmentDocument, getTenantQuotas } from "../document/mod.ts";
import { getNodeKey, type NodeRecord } from "../membership/mod.ts";
import type {
  PermitTransfer,
  TransferredPermits,
} from "../protocol/generated/exchange.ts";
import { formatVersion } from "../protocol/format_version.ts";
import type {
  NodePlace,
  PermitGrant,
  PermitRequest,
  Renew,
} from "../protocol/generated/session.ts";
import {
  FleetShare,
  PermitBuckets,
  type PermitDeficit,
  PermitTransfers,
  type QuotaTerms,
} from "../quotas/mod.ts";
import type { NodeSession } from "./node_session.ts";

/** Dependencies of a {@link QuotaHost}. */
export interface QuotaHostOptions {
  readonly terms: QuotaTerms;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Gets the session of a node. */
  getSession(nodeKey: string): NodeSession | undefined;
  /** Gets the identities of the other instances. */
  getPeers(): readonly string[];
  /** Asks another instance for permits; rejects when it does not answer. */
  requestPermits(
    instanceId: string,
    request: PermitTransfer,
  ): Promise<PermitTransfer>;
}

interface EnvironmentQuotas {
  readonly buckets: PermitBuckets;
  readonly transfers: PermitTransfers;
  readonly share: FleetShare;
}

/**
 * Shortest time between two rounds of grants, which visit all tenants with wants.
 * The first round after a pause is not delayed.
 */
const minimumGrantIntervalMilliseconds = 5;
/** Interval at which permits are granted while requests wait. */
const grantIntervalMilliseconds = 20;
const reportIntervalMilliseconds = 10_000;
const thousandthsPerPermit = 1000;

/** Grants permits to the nodes of an instance, and exchanges them with others. */
export class QuotaHost {
  readonly #options: QuotaHostOptions;
  readonly #environments = new Map<string, EnvironmentQuotas>();
  readonly #reportTimer: NodeJS.Timeout;
  #grantTimer: NodeJS.Timeout | undefined;
  #granted = 0;
  #grantedAt = -Infinity;
  #grantsDueAt = Infinity;
  #isStopped = false;

  /** @param options Dependencies. */
  constructor(options: QuotaHostOptions) {
    this.#options = options;
    this.#reportTimer = setInterval(
      () => this.#report(),
      reportIntervalMilliseconds,
    );
    this.#reportTimer.unref();
  }

  /** Applies the quotas of a document. */
  setDocument(environment: string, document: EnvironmentDocument): void {
    this.#get(environment).buckets.setQuotas(getTenantQuotas(document));
  }

  /** Adds a node whose session was opened here. */
  addNode({ hello, nodeKey }: NodeSession): void {
    const { share, buckets } = this.#get(hello.environment);
    buckets.removeNode(nodeKey);
    share.addNode(nodeKey, { isFirst: hello.firstSession, now: this.#now() });
    this.#updateShare(hello.environment);
  }

  /**
   * Removes a node whose session ended.
   * @param session The session.
   * @param options Whether the node stopped.
   */
  removeNode(
    { hello, nodeKey }: NodeSession,
    options: { hasLeft: boolean },
  ): void {
    const { buckets, share } = this.#get(hello.environment);
    buckets.removeNode(nodeKey);
    if (options.hasLeft) {
      share.forgetNode(nodeKey);
    } else {
      share.removeNode(nodeKey);
    }
    this.#updateShare(hello.environment);
  }

  /** Records the renewal of a node. */
  onRenew(session: NodeSession, renew: Renew): void {
    const { environment } = session.hello;
    this.#get(environment).share.receiveMessage(session.nodeKey, {
      now: this.#now(),
      confirmsPlace: session.quotaPlaceSequence !== undefined &&
        renew.answeredSequence >= session.quotaPlaceSequence,
    });
    this.#updateShare(environment);
  }

  /** Handles the permit request of a node. */
  onPermitRequest(session: NodeSession, request: PermitRequest): void {
    const { share, buckets } = this.#get(session.hello.environment);
    const now = this.#now();
    share.receiveMessage(session.nodeKey, { now, confirmsPlace: false });
    buckets.request(session.nodeKey, request, now);
    this.#scheduleGrants(
      Math.max(0, this.#grantedAt + minimumGrantIntervalMilliseconds - now),
    );
  }

  /**
   * Gets the place of a node, to be sent with the answer to a renewal.
   * @param session The node's session.
   * @param sequence Sequence of the answer.
   * @returns The place; `undefined` without quotas or until all nodes are known.
   */
  getPlace(session: NodeSession, sequence: number): NodePlace | undefined {
    const { share, buckets } = this.#get(session.hello.environment);
    const place = buckets.hasQuotas
      ? share.getPlace(session.nodeKey)
      : undefined;
    if (place !== undefined) {
      session.quotaPlaceSequence ??= sequence;
    }
    return place;
  }

  /**
   * Updates the shares. To be called several times a second.
   * @param state How to get the nodes of an environment that have a lease, whether
   * none of them can be missing, and whether this instance is available.
   */
  update(
    state: {
      getNodes: (environment: string) => readonly NodeRecord[];
      isComplete: boolean;
      isAvailable: boolean;
    },
  ): void {
    const now = this.#now();
    for (const [environment, each] of this.#environments) {
      if (!each.buckets.hasQuotas) {
        continue;
      }
      each.share.updateKnownNodes(
        state.getNodes(environment).map(getNodeKey),
        { ...state, now },
      );
      this.#updateShare(environment);
      each.buckets.removeIdle(now);
      each.transfers.removeIdle(now);
    }
  }

  /** Lends permits to another instance. */
  lend({ environment, permits }: PermitTransfer): PermitTransfer {
    const { transfers } = this.#get(environment);
    this.#updateShare(environment);
    const lent = transfers.lend(permits.map(fromWire), this.#now());
    return { formatVersion, environment, permits: lent.map(toWire) };
  }

  /** Stops the timers. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#reportTimer);
    clearTimeout(this.#grantTimer);
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #get(environment: string): EnvironmentQuotas {
    let known = this.#environments.get(environment);
    if (known === undefined) {
      const buckets = new PermitBuckets(this.#options.terms, this.#now());
      known = {
        buckets,
        transfers: new PermitTransfers(buckets),
        share: new FleetShare(),
      };
      this.#environments.set(environment, known);
    }
    return known;
  }

  #updateShare(environment: string): void {
    const { buckets, share } = this.#get(environment);
    const now = this.#now();
    buckets.setShare(share.getShare(now), now);
  }

  #scheduleGrants(delayMilliseconds: number): void {
    const dueAt = this.#now() + delayMilliseconds;
    // A new request does not wait for the next round of those that wait.
    if (dueAt < this.#grantsDueAt && !this.#isStopped) {
      this.#grantsDueAt = dueAt;
      clearTimeout(this.#grantTimer);
      this.#grantTimer = setTimeout(() => {
        this.#grantsDueAt = Infinity;
        this.#grantAll();
      }, delayMilliseconds);
    }
  }

  #grantAll(): void {
    const now = this.#now();
    this.#grantedAt = now;
    let hasWants = false;
    for (const [environment, each] of this.#environments) {
      if (!each.buckets.hasWants) {
        continue;
      }
      this.#updateShare(environment);
      this.#grant(each);
      const requests = each.transfers.createRequests(
        this.#options.getPeers(),
        now,
      );
      for (const { id, peer, deficits } of requests) {
        void this.#request(environment, { id, peer, deficits });
      }
      hasWants ||= each.buckets.hasWants;
    }
    if (hasWants) {
      this.#scheduleGrants(grantIntervalMilliseconds);
    }
  }

  #grant({ buckets }: EnvironmentQuotas): void {
    const grantsByNode = new Map<NodeSession, PermitGrant[]>();
    for (const { nodeKey, ...grant } of buckets.takeGrants(this.#now())) {
      const session = this.#options.getSession(nodeKey);
      if (session !== undefined) {
        const grants = grantsByNode.get(session) ?? [];
        grants.push({ ...grant, sequence: ++session.permitSequence });
        grantsByNode.set(session, grants);
        this.#granted += grant.permits;
      }
    }
    for (const [session, grants] of grantsByNode) {
      session.send({ $case: "permitGrants", permitGrants: { grants } });
    }
  }

  async #request(
    environment: string,
    { id, peer, deficits }: {
      id: number;
      peer: string;
      deficits: readonly PermitDeficit[];
    },
  ): Promise<void> {
    const each = this.#get(environment);
    try {
      const answer = await this.#options.requestPermits(peer, {
        formatVersion,
        environment,
        permits: deficits.map(toWire),
      });
      each.transfers.receiveAnswer(
        id,
        answer.permits.map(fromWire),
        this.#now(),
      );
    } catch {
      // The exchange logs instances that do not answer. Permits that the instance
      // deducted without an answer are lost; its bucket refills.
      each.transfers.fail(id, this.#now());
    }
    if (each.buckets.hasWants && !this.#isStopped) {
      this.#grant(each);
    }
  }

  #report(): void {
    const { log, metrics } = this.#options;
    metrics.increment("quotas.granted", {}, this.#granted);
    this.#granted = 0;
    for (const [environment, { transfers }] of this.#environments) {
      const { lent, borrowed } = transfers.takeCounts();
      if (lent > 0 || borrowed > 0) {
        log.info("permits transferred", {
          environment,
          lent: Math.round(lent),
          borrowed: Math.round(borrowed),
          seconds: reportIntervalMilliseconds / 1000,
        });
        metrics.increment("quotas.lent", {}, Math.round(lent));
        metrics.increment("quotas.borrowed", {}, Math.round(borrowed));
      }
    }
  }
}

function toWire({ tenant, permits }: PermitDeficit): TransferredPermits {
  return { tenant, thousandths: Math.round(permits * thousandthsPerPermit) };
}

function fromWire(
  { tenant, thousandths }: TransferredPermits,
): PermitDeficit {
  return { tenant, permits: thousandths / thousandthsPerPermit };
}
