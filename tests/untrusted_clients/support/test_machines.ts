import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import {
  type FakeEndpoint,
  startFakeEndpoint,
  writeSealedResponse,
} from "../../../platform/support/fake_endpoint.ts";
import {
  createManifest,
  createRoute,
} from "../../../platform/support/manifest_fixture.ts";
import { getFreePorts } from "../../support/free_ports.ts";
import { waitUntil } from "../../support/wait_until.ts";
import type { CrowdOptions } from "./client_kind.ts";

/** Heap limit of the processes; deploy/system.toml has 160 MB. */
const heapMegabytes = 64;
const deployedHeapMegabytes = 160;
/**
 * Memory of a machine, less what the heap limit of the test is lower. Docs of
 * the deployment: 250 MB for a node, 346 MB for a control instance.
 */
const memoryMegabytes = {
  node: 250 - deployedHeapMegabytes + heapMegabytes,
  control: 346 - deployedHeapMegabytes + heapMegabytes,
} as const;
/** Descriptors of a machine, 4,100, in the proportion of the heap limits. */
const maximumDescriptors = 4100 * heapMegabytes / deployedHeapMegabytes;

/** Calls that the endpoint runs at once. */
const slots = 16;
/**
 * Deadline of a call. It is longer than the crowd sends, so that calls with
 * incomplete bodies add up.
 */
const callSeconds = 40;
const heartbeatMilliseconds = 500;
/** Bound of a wait, far above what a slow machine takes. */
const waitMilliseconds = 120_000;

type Role = "node" | "control";
const addresses = { control: "127.0.31.1", node: "127.0.31.2" } as const;

/** What a listener of the processes is for. */
export type ListenerName = "outbound" | "operator" | "heartbeat" | "readiness";

interface RunningProgram {
  readonly child: ChildProcess;
  getOutput(): string;
}

/**
 * A control instance and a node of the platform as processes with lower limits,
 * and the endpoint of the node in this process.
 */
export class TestMachines {
  readonly #folder = mkdtempSync(join(tmpdir(), "untrusted-clients-"));
  readonly #programs = new Map<Role, RunningProgram>();
  readonly #children: ChildProcess[] = [];
  readonly #endpoint: FakeEndpoint;
  readonly #ports: readonly number[];
  readonly #peakDescriptors = { node: 0, control: 0 };
  #timers: NodeJS.Timeout[] = [];

  private constructor(endpoint: FakeEndpoint, ports: readonly number[]) {
    this.#endpoint = endpoint;
    this.#ports = ports;
  }

  /**
   * Starts the processes, and waits until the node answers a request.
   * @param context The test, at whose end they are killed.
   */
  static async start(context: TestContext): Promise<TestMachines> {
    const endpoint = await startFakeEndpoint((received, response) => {
      received.resume();
      received.on("error", () => {});
      received.on("end", () => writeSealedResponse(received, response));
    });
    // The ports behind the first one are those of the node's other listeners.
    const machines = new TestMachines(endpoint, await getFreePorts(7));
    context.after(() => machines.#close());
    machines.#startProgram("control");
    machines.#startProgram("node");
    await machines.#applyManifest();
    machines.#timers.push(
      setInterval(() => void machines.#sendHeartbeat(), heartbeatMilliseconds),
      setInterval(() => machines.#readDescriptors(), 50),
    );
    await machines.waitForResponses();
    return machines;
  }

  /** Gets the address of a listener. */
  getAddress(listener: ListenerName): { host: string; port: number } {
    const [, , , , control = 0, outbound = 0, ready = 0] = this.#ports;
    switch (listener) {
      case "outbound":
        return { host: addresses.node, port: outbound };
      case "readiness":
        return { host: addresses.node, port: ready };
      case "heartbeat":
        return { host: addresses.node, port: control };
      case "operator":
        return { host: addresses.control, port: control };
    }
  }

  /**
   * Lets a crowd send until it has settled.
   * @param options The crowd.
   * @param isClosedByListener Whether to wait until the listener has closed all
   * connections of the crowd, too.
   */
  async runCrowd(
    options: CrowdOptions,
    isClosedByListener = false,
  ): Promise<void> {
    const script = fileURLToPath(new URL("crowd_process.js", import.meta.url));
    const crowd = spawn(process.execPath, [script, JSON.stringify(options)], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    this.#children.push(crowd);
    let output = "";
    crowd.stdout.setEncoding("utf8").on("data", (text) => output += text);
    const waitForLine = (line: string) =>
      waitUntil(
        () => {
          this.#checkAlive();
          return output.includes(`${line}\n`);
        },
        `the crowd has ${line}`,
        waitMilliseconds,
      );
    await waitForLine("settled");
    if (isClosedByListener) {
      await waitForLine("closed");
    }
    crowd.stdin.end();
    await new Promise((resolve) => crowd.once("exit", resolve));
  }

  /** Waits for the response to one request of an ordinary client and operator. */
  async waitForResponses(): Promise<void> {
    await waitUntil(
      async () => {
        this.#checkAlive();
        return await this.#sendTransfer() === 200 &&
          await this.#send("operator", "GET", "/api/Config.Read") === 200 &&
          await this.#send("readiness", "GET", "/api/ready") === 200;
      },
      "an ordinary request is answered",
      waitMilliseconds,
    );
  }

  /**
   * Checks that the processes run and have kept within their machines.
   * @returns The peaks of the processes, for the report of the test.
   */
  checkResources(): string {
    this.#checkAlive();
    const failures: string[] = [];
    const texts = (["node", "control"] as const).map((role) => {
      const megabytes = this.#getPeakMegabytes(role);
      const descriptors = this.#peakDescriptors[role];
      if (megabytes > memoryMegabytes[role]) {
        failures.push(
          `${role} took ${megabytes} MB of ${memoryMegabytes[role]} MB`,
        );
      }
      if (descriptors > maximumDescriptors) {
        failures.push(`${role} had ${descriptors} open descriptors`);
      }
      return `${role}: ${megabytes} MB, ${descriptors} descriptors`;
    });
    if (failures.length > 0) {
      throw new Error(failures.join("; "));
    }
    return texts.join("; ");
  }

  #checkAlive(): void {
    for (const [role, { child, getOutput }] of this.#programs) {
      if (child.exitCode !== null || child.signalCode !== null) {
        throw new Error(
          `${role} ended with ${child.exitCode ?? child.signalCode}: ` +
            getOutput().slice(-1500),
        );
      }
    }
  }

  #getPeakMegabytes(role: Role): number {
    const pid = this.#programs.get(role)?.child.pid;
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? Infinity);
    return Math.round(kilobytes / 1024);
  }

  #readDescriptors(): void {
    for (const [role, { child }] of this.#programs) {
      try {
        const count = readdirSync(`/proc/${child.pid}/fd`).length;
        this.#peakDescriptors[role] = Math.max(
          this.#peakDescriptors[role],
          count,
        );
      } catch {
        // The process has ended, which another check reports.
      }
    }
  }

  #startProgram(role: Role): void {
    const settingsPath = join(this.#folder, `${role}.toml`);
    writeFileSync(settingsPath, this.#createSettings(role));
    const program = new URL(
      `../../../platform/bin/platform_${role}.js`,
      import.meta.url,
    );
    const child = spawn(process.execPath, [
      `--max-old-space-size=${heapMegabytes}`,
      "--max-semi-space-size=4",
      fileURLToPath(program),
    ], {
      env: { ...process.env, DOGWOODWALK_NODE_FILE: settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8").on("data", (text) => {
        output = (output + text).slice(-100_000);
      });
    }
    this.#children.push(child);
    this.#programs.set(role, { child, getOutput: () => output });
  }

  #createSettings(role: Role): string {
    const [internal = 0] = this.#ports;
    const address = (listener: ListenerName) => {
      const { host, port } = this.getAddress(listener);
      return `"${host}:${port}"`;
    };
    const isNode = role === "node";
    return `[self]
nodeName = "${role}-1"
ip = "${addresses[role]}"
zone = "zone-1"
region = "north"
bootstrap = true
${
      isNode
        ? `service = "treasury"\nappAddr = "127.0.0.1:${this.#endpoint.port}"`
        : `dataDir = "${join(this.#folder, "data")}"`
    }
[network]
internalPorts = [${internal},${internal + 15}]
seeds = [${address("operator")}]
[network.listen]
control = ${address(isNode ? "heartbeat" : "operator")}
${
      isNode
        ? `outbound = ${address("outbound")}\nready = ${address("readiness")}`
        : ""
    }
[platform]
heartbeatS = 1.5
[terms.bounds]
drainS = 2
graceS = 6
`;
  }

  async #applyManifest(): Promise<void> {
    const manifest = createManifest({ version: "r1", baseVersion: "r0" });
    Object.assign(manifest.limits, {
      maxBodyBytes: 4 * 1024 * 1024,
      headerTimeoutS: 1,
      idleTimeoutS: 2,
    });
    manifest.virtualHosts = [{
      host: "pay.example",
      paths: [{
        ...createRoute(),
        timeoutS: callSeconds,
        targetLatencyS: callSeconds,
      }],
    }];
    const body = JSON.stringify(manifest);
    await waitUntil(
      async () => {
        this.#checkAlive();
        return await this.#send(
          "operator",
          "POST",
          "/api/Config.Replace",
          { body },
        ) === 200;
      },
      "the manifest is accepted",
      waitMilliseconds,
    );
  }

  #sendHeartbeat(): Promise<number> {
    this.#sequence++;
    return this.#send("heartbeat", "POST", "/api/Instances.Heartbeat/i-1", {
      body: JSON.stringify({
        service: "treasury",
        address: `127.0.0.1:${this.#endpoint.port}`,
        zone: "a",
        version: "v1",
        maxConcurrency: slots,
        state: "ready",
        warmupLeftS: 0,
        seq: this.#sequence,
        born: 1000,
      }),
    });
  }
  #sequence = 0;

  #sendTransfer(): Promise<number> {
    return this.#send("outbound", "POST", "/transfers/1", {
      headers: {
        Host: "pay.example",
        "X-Attempt-Id": `ordinary-${performance.now()}`,
      },
      body: "amount=5",
    });
  }

  /** Sends a request and gets its status; 0 without a response. */
  #send(
    listener: ListenerName,
    method: string,
    path: string,
    options: { headers?: Record<string, string>; body?: string } = {},
  ): Promise<number> {
    return new Promise((resolve) => {
      const outgoing = request({
        ...this.getAddress(listener),
        method,
        path,
        headers: options.headers ?? {},
        agent: false,
      }, (response) => {
        response.resume();
        response.on("error", () => resolve(0));
        response.on("end", () => resolve(response.statusCode ?? 0));
      });
      outgoing.on("error", () => resolve(0));
      outgoing.setTimeout(10_000, () => outgoing.destroy());
      outgoing.end(options.body);
    });
  }

  async #close(): Promise<void> {
    this.#timers.forEach((each) => clearInterval(each));
    await Promise.all(this.#children.map((child) => {
      if (child.exitCode !== null || child.signalCode !== null) {
        return undefined;
      }
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      return ended;
    }));
    await this.#endpoint.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
