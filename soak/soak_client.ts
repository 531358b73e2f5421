import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../src/common/mod.ts";
import type { ClusterNode } from "../tests/support/cluster.ts";
import { ClientConnection } from "./client_connection.ts";
import { encodeRequest, type Exchange, type SoakRequest } from "./exchange.ts";
import type { SoakTenant } from "./soak_tenants.ts";

/** How a client of requests that may run twice uses its connections. */
export interface ViewBehavior {
  readonly kind:
    | "keep-alive"
    | "pipelining"
    | "stubborn"
    | "erring"
    | "slow-reader"
    | "fresh";
  /** Requests that are sent before the first of them is answered. */
  readonly window: number;
  /** Whether it goes on sending behind a response with `Connection: close`. */
  readonly ignoresClose: boolean;
  /** Whether each request has a connection of its own. */
  readonly isFresh: boolean;
  readonly readPauseMilliseconds: number;
  readonly fillerBytes: number;
  /** Share of the requests that are malformed. */
  readonly malformedShare: number;
}

const keepAlive: ViewBehavior = {
  kind: "keep-alive",
  window: 1,
  ignoresClose: false,
  isFresh: false,
  readPauseMilliseconds: 0,
  fillerBytes: 0,
  malformedShare: 0,
};

/** The behaviors that clients have in turn. */
export const viewBehaviors: readonly ViewBehavior[] = [
  { ...keepAlive, kind: "pipelining", window: 4 },
  keepAlive,
  {
    ...keepAlive,
    kind: "slow-reader",
    window: 2,
    readPauseMilliseconds: 20,
    fillerBytes: 1_000_000,
  },
  { ...keepAlive, kind: "stubborn", window: 4, ignoresClose: true },
  { ...keepAlive, kind: "erring", window: 4, malformedShare: 0.02 },
  { ...keepAlive, kind: "fresh", isFresh: true },
];

const pathsByService: Readonly<Record<string, string>> = {
  "member-portal": "/balances/",
  treasury: "/balances/",
  "roster-registry": "/rosters/",
};
/** Services that the nodes of a service call. */
const calledServices: Readonly<Record<string, string>> = {
  "member-portal": "treasury",
  treasury: "roster-registry",
};
/** A host that is no service, which means the service of the node. */
const ownHost = "soak";
/** Time before the next attempt when a connection or request was refused. */
const refusalPauseMilliseconds = 50;
/** Sends of one transfer, the first one included. */
const maximumSends = 10;
const resendShare = 0.3;
/** Share of the requests for which there is no route. */
const unknownRouteShare = 0.05;
/** Share of the requests with the key that plans withdraw. */
const changingKeyShare = 0.3;
/** Share of the requests for a service that the node calls. */
const calledServiceShare = 0.3;
const largeHeadersShare = 0.03;
/** Leaves room in 16 KiB for the headers that nodes add. */
const paddingBytes = 14_000;
const largeBodyShare = 0.1;
/** Above the size of a body that a node buffers. */
const largeBodyBytes = 200_000;

/** Settings of a client. */
export interface SoakClientOptions {
  readonly name: string;
  readonly tenant: SoakTenant;
  readonly random: RandomSource;
  /** Separate, so that seeds draw the same requests as before there were keys. */
  readonly keyRandom: RandomSource;
  /** Receives each exchange when it is sent. */
  readonly exchanges: Exchange[];
  /** Reports whether further requests are sent. */
  isRunning(): boolean;
}

/**
 * Sends requests that may run twice to one node, until told to stop.
 * @param node The node.
 * @param behavior How connections are used.
 * @param options Name, and where exchanges are recorded.
 */
export async function runViewClient(
  node: ClusterNode,
  behavior: ViewBehavior,
  options: SoakClientOptions,
): Promise<void> {
  const { random, isRunning } = options;
  const channel = new ClientChannel(options, behavior);
  let sends = 0;
  while (isRunning()) {
    if (!await channel.open(node)) {
      await sleep(refusalPauseMilliseconds);
      continue;
    }
    while (isRunning() && channel.canSend) {
      while (channel.canSend && channel.openCount < behavior.window) {
        const id = `${options.name}-${++sends}`;
        channel.send({
          id,
          ...drawRoute(node, { id, random }),
          accessKey: drawAccessKey(options),
          body: "",
          fillerBytes: behavior.fillerBytes,
          isMalformed: random() < behavior.malformedShare,
        });
      }
      const exchange = await channel.nextEnd();
      if (isRefused(exchange)) {
        await sleep(refusalPauseMilliseconds);
      }
      if (behavior.isFresh) {
        break;
      }
    }
    await channel.finish();
  }
}

/**
 * Sends keyed transfers to nodes in turn, and resends those that are refused,
 * have an unknown outcome or are not answered, with the same key.
 * @param nodes The nodes.
 * @param options Name, and where exchanges are recorded.
 */
export async function runTransferClient(
  nodes: readonly ClusterNode[],
  options: SoakClientOptions,
): Promise<void> {
  const { name, random, isRunning } = options;
  const channel = new ClientChannel(options, keepAlive);
  let transfers = 0;
  while (isRunning()) {
    const key = `${name}-${++transfers}`;
    for (let send = 1; send <= maximumSends && isRunning(); send++) {
      const node = nodes[Math.floor(random() * nodes.length)] as ClusterNode;
      if (!channel.canSend && !await channel.open(node)) {
        await sleep(refusalPauseMilliseconds);
        continue;
      }
      channel.send({
        id: `${key}-${send}`,
        method: "POST",
        path: "/transfers",
        host: ownHost,
        key,
        accessKey: drawAccessKey(options),
        body: `amount=5&key=${key}`,
        fillerBytes: 0,
      });
      const { end } = await channel.nextEnd();
      if (!channel.canSend || random() < resendShare) {
        await channel.finish();
      }
      const hasRun = end?.kind === "answered" && end.disposition === "ran";
      if (hasRun && random() >= resendShare) {
        break;
      }
      await sleep(refusalPauseMilliseconds * (1 + 5 * random()));
    }
  }
  await channel.finish();
}

/** Reports whether other requests of the client would be refused, too. */
function isRefused({ request, end }: Exchange): boolean {
  return end?.kind === "answered" && (end.status === 503 ||
    end.status === 401 ||
    (end.status === 404 && request.isUnknownRoute !== true));
}

function drawAccessKey({ tenant, keyRandom }: SoakClientOptions): string {
  return keyRandom() < changingKeyShare ? tenant.changingKey : tenant.steadyKey;
}

/** Draws the route of a request that may run twice, and how large it is. */
function drawRoute(
  node: ClusterNode,
  { id, random }: { id: string; random: RandomSource },
): Omit<SoakRequest, "id" | "body" | "fillerBytes"> {
  if (random() < unknownRouteShare) {
    const path = `/unknown/${id}`;
    return { method: "GET", host: ownHost, path, isUnknownRoute: true };
  }
  const called = random() < calledServiceShare
    ? calledServices[node.service]
    : undefined;
  const path = `${pathsByService[called ?? node.service]}${id}`;
  // Only the routes of this path allow other methods.
  const hasBody = path.startsWith("/rosters/") && random() < largeBodyShare;
  return {
    method: hasBody ? "POST" : "GET",
    host: called ?? ownHost,
    path,
    bodyBytes: hasBody ? largeBodyBytes : 0,
    paddingBytes: random() < largeHeadersShare ? paddingBytes : 0,
  };
}

/** The connection that a client uses at the moment. */
class ClientChannel {
  readonly #options: SoakClientOptions;
  readonly #behavior: ViewBehavior;
  #connection: ClientConnection | undefined;
  #node: ClusterNode | undefined;
  #waiters: ((exchange: Exchange) => void)[] = [];
  #hasSentMalformed = false;

  constructor(options: SoakClientOptions, behavior: ViewBehavior) {
    this.#options = options;
    this.#behavior = behavior;
  }

  get canSend(): boolean {
    const connection = this.#connection;
    return connection !== undefined && connection.isOpen &&
      !this.#hasSentMalformed &&
      (this.#behavior.ignoresClose || !connection.hasReceivedClose);
  }

  get openCount(): number {
    return this.#connection?.openCount ?? 0;
  }

  /** Connects to a node and reports whether it accepted the connection. */
  async open(node: ClusterNode): Promise<boolean> {
    this.#node = node;
    this.#hasSentMalformed = false;
    this.#connection = await ClientConnection.open({
      port: node.outside,
      readPauseMilliseconds: this.#behavior.readPauseMilliseconds,
      onEnd: (exchange) =>
        this.#waiters.splice(0).forEach((resolve) => resolve(exchange)),
    });
    return this.#connection !== undefined;
  }

  send(request: SoakRequest): void {
    const exchange: Exchange = {
      request,
      client: `${this.#options.name}/${this.#behavior.kind}`,
      node: this.#node?.name ?? "",
      sentMilliseconds: Date.now(),
      endMilliseconds: 0,
    };
    this.#options.exchanges.push(exchange);
    this.#hasSentMalformed ||= request.isMalformed === true;
    this.#connection?.send(
      exchange,
      encodeRequest(request, this.#options.name),
    );
  }

  /** Resolves when the next exchange ends. */
  nextEnd(): Promise<Exchange> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Waits for the open exchanges, and closes the connection. */
  async finish(): Promise<void> {
    while (this.openCount > 0) {
      await this.nextEnd();
    }
    this.#connection?.close();
    this.#connection = undefined;
  }
}
