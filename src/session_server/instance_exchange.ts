import { credentials, type Interceptor, Metadata } from "@grpc/grpc-js";
import type { Clock, Log } from "../common/mod.ts";
import {
  type BucketKey,
  type Directory,
  type DirectoryBatch,
  getNodeKey,
  type KnownTarget,
  type LinkDemandReport,
  type NodeRecord,
  parseTargetRecord,
  toKnownTarget,
} from "../membership/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import {
  type CrashNews,
  type ExchangeAnswer,
  type ExchangeBatch,
  ExchangeClient,
  type NodeRecord as WireNode,
  type PermitTransfer,
} from "../protocol/generated/exchange.ts";
import type { TargetRecord as WireTarget } from "../protocol/generated/session.ts";
import type { PeerInstance } from "./control_state.ts";
import { toWireTarget } from "./messages.ts";

/** Settings of the exchange. */
export interface InstanceExchangeOptions {
  readonly boot: number;
  readonly directory: Directory;
  readonly clock: Clock;
  readonly log: Log;
  readonly interceptors: readonly Interceptor[];
  getPeers(): readonly PeerInstance[];
  getLinkDemand(): LinkDemandReport;
}

/** Connection to one peer, and the items that it has not received yet. */
interface Peer {
  readonly instance: PeerInstance;
  client: ExchangeClient;
  readonly targets: Map<string, KnownTarget>;
  readonly nodes: Map<string, NodeRecord>;
  /** Buckets that the peer requested in its last answer. */
  requestedBuckets: BucketKey[];
  crashNews: CrashNews[];
  /** Number of crash reports and clearances that were dropped since the last answer. */
  droppedCrashNews: number;
  isPushing: boolean;
  consecutiveFailures: number;
  lastDigestAt: number;
  lastAnswerAt: number;
}

const pushIntervalMilliseconds = 200;
const digestIntervalMilliseconds = 2000;
const pushDeadlineMilliseconds = 1000;
// Requests of callers wait for at most 300 ms, and a later answer is of no use.
const permitDeadlineMilliseconds = 300;
// After a partition without connection errors, TCP may wait for minutes before
// it retransmits, so the connection is replaced after this many failures in a
// row.
const failuresBeforeReconnect = 2;
// Limit for the crash reports and clearances that are queued for an unreachable
// peer; each has at most a few hundred bytes.
const maximumQueuedCrashNews = 1000;

/** Sends own items to the other instances and receives theirs. */
export class InstanceExchange {
  readonly #options: InstanceExchangeOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: InstanceExchangeOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#pushAll(), pushIntervalMilliseconds);
  }

  /**
   * Forwards a node's report of a crash, or of a cleared suspect, to the other
   * instances. It is sent at once: until all nodes know of a request that
   * crashes targets, it may crash another one.
   */
  addCrashNews(news: CrashNews): void {
    this.#updatePeers();
    for (const peer of this.#peers.values()) {
      if (peer.crashNews.length < maximumQueuedCrashNews) {
        peer.crashNews.push(news);
        this.#push(peer);
      } else {
        peer.droppedCrashNews++;
        if (peer.droppedCrashNews === 1) {
          this.#logDroppedCrashNews(peer);
        }
      }
    }
  }

  /**
   * Merges a batch of another instance.
   * @param batch The batch.
   * @returns The answer, with the buckets that the sender is to send.
   */
  receive(batch: ExchangeBatch): ExchangeAnswer {
    const now = this.#options.clock.monotonicMilliseconds();
    const requestedBuckets = this.#options.directory.mergeBatch(
      parseWireBatch(batch, now),
      now,
    );
    return {
      formatVersion,
      refusal: undefined,
      boot: this.#options.boot,
      wanted: requestedBuckets,
    };
  }

  /**
   * Gets the instances whose last answer is no older than the digest interval
   * plus the deadline of a push.
   */
  getReachablePeers(): PeerInstance[] {
    const now = this.#options.clock.monotonicMilliseconds();
    return [...this.#peers.values()]
      .filter((peer) =>
        now - peer.lastAnswerAt <
          digestIntervalMilliseconds + pushDeadlineMilliseconds
      )
      .map((peer) => peer.instance);
  }

  /**
   * Asks another instance for permits.
   * @param instanceId The instance.
   * @param request The permits.
   * @returns The permits that it lent; rejects when it does not answer.
   */
  requestPermits(
    instanceId: string,
    request: PermitTransfer,
  ): Promise<PermitTransfer> {
    const peer = [...this.#peers.values()].find((each) =>
      each.instance.instanceId === instanceId
    );
    return new Promise((resolve, reject) => {
      if (peer === undefined) {
        reject(new Error(`There is no instance ${instanceId}`));
        return;
      }
      peer.client.lendPermits(
        request,
        new Metadata(),
        { deadline: Date.now() + permitDeadlineMilliseconds },
        (error, answer) => error === null ? resolve(answer) : reject(error),
      );
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const peer of this.#peers.values()) {
      peer.client.close();
    }
    this.#peers.clear();
  }

  #pushAll(): void {
    this.#updatePeers();
    const changes = this.#options.directory.takeOwnChanges();
    for (const peer of this.#peers.values()) {
      for (const target of changes.targets) {
        peer.targets.set(`${target.environment}\0${target.targetId}`, target);
      }
      for (const node of changes.nodes) {
        peer.nodes.set(getNodeKey(node), node);
      }
      this.#push(peer);
    }
  }

  #updatePeers(): void {
    const instances = this.#options.getPeers();
    for (const [name, peer] of this.#peers) {
      if (!instances.some((each) => getPeerKey(each) === name)) {
        peer.client.close();
        this.#peers.delete(name);
      }
    }
    for (const instance of instances) {
      if (!this.#peers.has(getPeerKey(instance))) {
        this.#peers.set(getPeerKey(instance), {
          instance,
          client: this.#createClient(instance.address),
          targets: new Map(),
          nodes: new Map(),
          requestedBuckets: [],
          crashNews: [],
          droppedCrashNews: 0,
          isPushing: false,
          consecutiveFailures: 0,
          lastDigestAt: Number.NEGATIVE_INFINITY,
          lastAnswerAt: Number.NEGATIVE_INFINITY,
        });
      }
    }
  }

  #push(peer: Peer): void {
    const now = this.#options.clock.monotonicMilliseconds();
    const hasDigests = now - peer.lastDigestAt >= digestIntervalMilliseconds;
    const isDue = hasDigests || peer.targets.size > 0 || peer.nodes.size > 0 ||
      peer.requestedBuckets.length > 0 || peer.crashNews.length > 0;
    if (peer.isPushing || !isDue) {
      return;
    }
    peer.isPushing = true;
    const sent = {
      targets: [...peer.targets],
      nodes: [...peer.nodes],
      crashNews: peer.crashNews.length,
    };
    const batch = this.#options.directory.createBatch({
      targets: sent.targets.map(([, target]) => target),
      nodes: sent.nodes.map(([, node]) => node),
      requestedBuckets: peer.requestedBuckets,
      hasDigests,
    }, now);
    if (hasDigests) {
      peer.lastDigestAt = now;
    }
    const client = peer.client;
    client.push(
      createWireBatch(batch, {
        crashNews: peer.crashNews,
        linkDemand: hasDigests ? this.#options.getLinkDemand() : undefined,
        now,
      }),
      new Metadata(),
      { deadline: Date.now() + pushDeadlineMilliseconds },
      (error, answer) => {
        peer.isPushing = false;
        if (error !== null) {
          this.#onFailure(peer, error.message);
          return;
        }
        peer.consecutiveFailures = 0;
        peer.lastAnswerAt = this.#options.clock.monotonicMilliseconds();
        removeSent(peer.targets, sent.targets);
        removeSent(peer.nodes, sent.nodes);
        peer.crashNews.splice(0, sent.crashNews);
        if (peer.droppedCrashNews > 0) {
          this.#logDroppedCrashNews(peer);
          peer.droppedCrashNews = 0;
        }
        peer.requestedBuckets = answer.wanted;
        if (peer.crashNews.length > 0) {
          this.#push(peer);
        }
      },
    );
  }

  #createClient(address: string): ExchangeClient {
    return new ExchangeClient(address, credentials.createInsecure(), {
      "grpc.use_local_subchannel_pool": 1,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_reconnect_backoff_ms": 1000,
      interceptors: [...this.#options.interceptors],
    });
  }

  #logDroppedCrashNews(peer: Peer): void {
    this.#options.log.warn("crash reports dropped", {
      peer: peer.instance.instanceId,
      dropped: peer.droppedCrashNews,
      reason: "the instance does not answer",
    });
  }

  #onFailure(peer: Peer, message: string): void {
    peer.consecutiveFailures++;
    if (peer.consecutiveFailures === 1) {
      this.#options.log.warn("exchange-failed", {
        peer: peer.instance.instanceId,
        message,
      });
    }
    // Sends the next digest early, so that a peer that is reachable again can
    // request the items that it missed.
    peer.lastDigestAt = Math.min(
      peer.lastDigestAt,
      this.#options.clock.monotonicMilliseconds() -
        digestIntervalMilliseconds / 2,
    );
    if (
      peer.consecutiveFailures % failuresBeforeReconnect === 0 &&
      this.#peers.get(getPeerKey(peer.instance)) === peer
    ) {
      peer.client.close();
      peer.client = this.#createClient(peer.instance.address);
    }
  }
}

function getPeerKey(instance: PeerInstance): string {
  return `${instance.instanceId} ${instance.address}`;
}

/** Removes sent items, except those that have changed since they were sent. */
function removeSent<Item>(
  pending: Map<string, Item>,
  sent: readonly (readonly [string, Item])[],
): void {
  for (const [key, item] of sent) {
    if (pending.get(key) === item) {
      pending.delete(key);
    }
  }
}

/** Converts a batch to its wire message. */
export function createWireBatch(
  batch: DirectoryBatch,
  options: {
    crashNews: readonly CrashNews[];
    linkDemand?: LinkDemandReport | undefined;
    now: number;
  },
): ExchangeBatch {
  const { now } = options;
  return {
    formatVersion,
    instanceId: batch.instanceId,
    boot: batch.boot,
    counter: batch.counter,
    collecting: batch.collecting,
    targets: batch.targets.map((target) => toWireTarget(target, now)),
    nodes: [...batch.nodes],
    buckets: batch.buckets.map((bucket) => ({
      ...bucket,
      targets: bucket.targets.map((target) => toWireTarget(target, now)),
      nodes: [...bucket.nodes],
    })),
    digests: batch.digests.map((digest) => ({
      ...digest,
      buckets: [...digest.buckets],
    })),
    crashNews: [...options.crashNews],
    linkDemand: options.linkDemand === undefined ? undefined : {
      ...options.linkDemand,
      rounds: options.linkDemand.rounds.map(({ round, entries }) => ({
        round,
        entries: [...entries],
      })),
    },
  };
}

/** Converts a received wire message to a batch. */
export function parseWireBatch(
  batch: ExchangeBatch,
  now: number,
): DirectoryBatch {
  return {
    instanceId: batch.instanceId,
    boot: batch.boot,
    counter: batch.counter,
    collecting: batch.collecting,
    targets: parseTargets(batch.targets, now),
    nodes: parseNodes(batch.nodes),
    buckets: batch.buckets.map((bucket) => ({
      ...bucket,
      targets: parseTargets(bucket.targets, now),
      nodes: parseNodes(bucket.nodes),
    })),
    digests: batch.digests,
  };
}

function parseTargets(
  targets: readonly WireTarget[],
  now: number,
): KnownTarget[] {
  return targets.map(parseTargetRecord)
    .filter((target) => target !== undefined)
    .map((target) => toKnownTarget(target, now));
}

function parseNodeState(state: string): NodeRecord["state"] {
  return state === "gone" || state === "disconnected" ? state : "connected";
}

function parseNodes(nodes: readonly WireNode[]): NodeRecord[] {
  return nodes.map((node) => ({
    ...node,
    state: parseNodeState(node.state),
  }));
}
