import { getFreePorts } from "./free_ports.ts";
import { createHash } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { connect, createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createLog, type Log } from "../../src/common/mod.ts";
import {
  createReplicatedLog,
  type ReplicatedLog,
  type ReplicatedLogOptions,
  type StateMachine,
} from "../../src/consensus/mod.ts";

/** A state machine that keeps the texts of all commands in order. */
export class TextStateMachine implements StateMachine {
  readonly texts: string[] = [];

  apply(entry: { readonly command: Uint8Array }): Uint8Array {
    this.texts.push(Buffer.from(entry.command).toString());
    return Buffer.from(String(this.texts.length));
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.texts));
  }

  restoreSnapshot(bytes: Uint8Array): void {
    this.texts.splice(
      0,
      this.texts.length,
      ...JSON.parse(Buffer.from(bytes).toString()) as string[],
    );
  }

  getDigest(): string {
    return createHash("sha256").update(JSON.stringify(this.texts))
      .digest("hex");
  }
}

/** One instance of a {@link ReplicatedLogGroup}. */
export interface ReplicatedLogInstance {
  readonly address: string;
  readonly dataFolder: string;
  readonly stateMachine: TextStateMachine;
  readonly log: ReplicatedLog;
}

/**
 * Instances of the replicated log in this process, with files on disk and
 * loopback connections that a test can pause.
 */
export class ReplicatedLogGroup {
  readonly instances: ReplicatedLogInstance[] = [];
  readonly #rootFolder: string;
  readonly #instanceOptions: Partial<ReplicatedLogOptions>;
  readonly #relays: Relay[] = [];
  #folderCount = 0;

  private constructor(
    rootFolder: string,
    instanceOptions: Partial<ReplicatedLogOptions>,
  ) {
    this.#rootFolder = rootFolder;
    this.#instanceOptions = instanceOptions;
  }

  /**
   * Starts a new group and waits for its leader.
   * @param size Number of instances.
   * @param instanceOptions Settings that all instances share.
   */
  static async start(
    size: number,
    instanceOptions: Partial<ReplicatedLogOptions> = {},
  ): Promise<ReplicatedLogGroup> {
    const rootFolder = await mkdtemp(join(tmpdir(), "dogwoodwalk-log-"));
    const group = new ReplicatedLogGroup(rootFolder, instanceOptions);
    const addresses = await Promise.all(
      Array.from({ length: size }, () => getFreeAddress()),
    );
    await group.#createRelays(addresses);
    for (const address of addresses) {
      await group.startInstance({ address, initialMembers: addresses });
    }
    await group.waitForLeader();
    return group;
  }

  /**
   * Starts one instance.
   * @param options Address, and settings that differ from the shared ones; the
   * data folder of a stopped instance restarts that instance.
   */
  async startInstance(
    options: Partial<ReplicatedLogOptions> & { address: string },
  ): Promise<ReplicatedLogInstance> {
    const dataFolder = options.dataFolder ??
      join(this.#rootFolder, String(++this.#folderCount));
    const stateMachine = new TextStateMachine();
    const log = await createReplicatedLog({
      initialMembers: [],
      stateMachine,
      log: instanceLog,
      resolveAddress: (to) =>
        this.#relays.find((each) =>
          each.from === options.address && each.to === to
        )?.address ?? to,
      ...this.#instanceOptions,
      ...options,
      dataFolder,
    });
    const instance = {
      address: options.address,
      dataFolder,
      stateMachine,
      log,
    };
    this.instances.push(instance);
    return instance;
  }

  /** Stops one instance and keeps its data folder. */
  async stopInstance(instance: ReplicatedLogInstance): Promise<void> {
    this.instances.splice(this.instances.indexOf(instance), 1);
    await instance.log.stop();
  }

  /** Pauses or resumes all connections from and to an instance. */
  setConnectionsPaused(
    { address }: ReplicatedLogInstance,
    isPaused: boolean,
  ): void {
    for (const relay of this.#relays) {
      if (relay.from === address || relay.to === address) {
        relay.setPaused(isPaused);
      }
    }
  }

  /** Waits for a leader that is not isolated, and gets it. */
  async waitForLeader(): Promise<ReplicatedLogInstance> {
    return await waitForValue(() =>
      this.instances.find(({ log }) => {
        const { role, isolated } = log.getStatus();
        return role === "leader" && !isolated;
      }), "a leader");
  }

  /** Proposes a command on the leader, and retries until it is committed. */
  async propose(text: string): Promise<void> {
    await waitForValue(async () => {
      const leader = await this.waitForLeader();
      const result = await leader.log.propose(Buffer.from(text));
      return result.kind === "ok" ? true : undefined;
    }, `commit of ${text}`);
  }

  /** Waits until all instances have applied the same, complete log. */
  async waitForEqualState(): Promise<void> {
    await waitForValue(() => {
      const states = this.instances.map(({ log }) => log.getStatus());
      const [first] = states;
      return states.every((each) =>
          each.appliedIndex === first?.appliedIndex &&
          each.lastIndex === each.appliedIndex &&
          each.digest === first.digest
        )
        ? true
        : undefined;
    }, "equal states");
  }

  async #createRelays(addresses: readonly string[]): Promise<void> {
    for (const from of addresses) {
      for (const to of addresses) {
        const relay = new Relay(from, to);
        await relay.start();
        this.#relays.push(relay);
      }
    }
  }

  /** Stops all instances and removes their data folders. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map(({ log }) => log.stop()));
    this.#relays.forEach((relay) => relay.stop());
    await rm(this.#rootFolder, { recursive: true, force: true });
  }
}

/**
 * Forwards connections from one instance to another. While it is paused, it
 * keeps them open and forwards nothing, as if the network or peer had failed.
 */
class Relay {
  readonly #server = createServer((socket) => this.#accept(socket));
  readonly #sockets = new Set<Socket>();
  #isPaused = false;

  address = "";

  constructor(readonly from: string, readonly to: string) {}

  async start(): Promise<void> {
    this.address = await listenOnLoopback(this.#server);
  }

  setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    for (const socket of this.#sockets) {
      isPaused ? socket.pause() : socket.resume();
    }
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #accept(incoming: Socket): void {
    const [host, port] = this.to.split(":");
    const outgoing = connect({ host: host ?? "", port: Number(port) });
    for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
      if (from !== undefined && to !== undefined) {
        this.#sockets.add(from);
        from.on("data", (bytes) => to.write(bytes));
        from.on("error", () => to.destroy());
        from.on("close", () => {
          this.#sockets.delete(from);
          to.destroy();
        });
        this.#isPaused && from.pause();
      }
    }
  }
}

async function listenOnLoopback(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  return typeof address === "object" && address !== null
    ? `127.0.0.1:${address.port}`
    : "";
}

const instanceLog: Log = process.env["LOG"]
  ? createLog()
  : { info: () => {}, warn: () => {}, error: () => {} };

/** Gets a loopback address on which nothing listens. */
export async function getFreeAddress(): Promise<string> {
  const [port] = await getFreePorts(1);
  return `127.0.0.1:${port}`;
}

/**
 * Waits until a check returns a value, up to 60 s.
 * @param check Returns undefined as long as there is no value.
 * @param description What is awaited, for the error message.
 * @returns The value.
 */
export async function waitForValue<Value>(
  check: () => Value | undefined | Promise<Value | undefined>,
  description: string,
): Promise<Value> {
  const end = Date.now() + 60_000;
  while (Date.now() < end) {
    const value = await check();
    if (value !== undefined) {
      return value;
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error(`Timed out after 60 s waiting for ${description}`);
}
