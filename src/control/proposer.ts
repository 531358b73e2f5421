import { credentials, type Interceptor, Metadata } from "@grpc/grpc-js";
import { failed, ok, type Result } from "../common/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";
import {
  ControlCommand,
  ControlResult,
  ForwardClient,
  type ForwardServer,
} from "../protocol/generated/control.ts";
import { formatVersion } from "./control_state_machine.ts";
import { createProposeRefusal, createRefusal } from "./refusal.ts";
import type { ReplicatedLog } from "../consensus/mod.ts";

/** Timeout of a small forwarded command; equal to that of other calls. */
const forwardTimeoutMilliseconds = 1000;
/** Throughput below which a large command is not forwarded in time. */
const minimumBytesPerMillisecond = 512;

/**
 * Options for the channels to other instances. The short backoff reconnects to a
 * restarted leader within a second; the default of gRPC can wait for two minutes.
 * Keepalive pings detect a partition that drops packets silently.
 */
const channelOptions = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
  "grpc.keepalive_time_ms": 1000,
  "grpc.keepalive_timeout_ms": 1000,
};

/** Options of {@link Proposer}. */
export interface ProposerOptions {
  readonly log: Pick<ReplicatedLog, "propose">;
  /** Address of this instance; commands are never forwarded to it. */
  readonly address: string;
  readonly interceptors: readonly Interceptor[];
}

/**
 * Proposes commands to the replicated log; forwards them to the leader when this
 * instance is a follower.
 */
export class Proposer {
  readonly #options: ProposerOptions;
  readonly #clients = new Map<string, ForwardClient>();
  #inFlight = 0;
  #isStopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: ProposerOptions) {
    this.#options = options;
  }

  /** Gets the number of commands without a result. */
  get inFlightCount(): number {
    return this.#inFlight;
  }

  /**
   * Proposes a command. When the answer of the leader is lost, the refusal is
   * `outcome-unknown`: the command may still be applied.
   * @param command The command.
   * @returns Its result, or the refusal when there is none.
   */
  async propose(
    command: ControlCommand["command"],
  ): Promise<Result<ControlResult["result"], Refusal>> {
    const bytes = ControlCommand.encode({ formatVersion, command }).finish();
    return await this.#runUnlessStopping(() => this.#proposeOrForward(bytes));
  }

  async #proposeOrForward(
    bytes: Uint8Array,
  ): Promise<Result<ControlResult["result"], Refusal>> {
    const proposed = await this.#options.log.propose(bytes);
    if (proposed.kind === "ok") {
      return ok(ControlResult.decode(proposed.value).result);
    }
    const { error } = proposed;
    const leaderAddress = error.kind === "not-leader"
      ? error.leaderAddress
      : undefined;
    if (
      leaderAddress === undefined || leaderAddress === this.#options.address
    ) {
      return failed(createProposeRefusal(error));
    }
    return await this.#forward(leaderAddress, bytes);
  }

  /** Gets the service that handles commands forwarded by other instances. */
  getService(): ForwardServer {
    return {
      propose: async (call, callback) => {
        const { command } = call.request;
        if (!isKnownCommand(command)) {
          const refusal = createRefusal(
            "unsupported-format",
            "The command is damaged or has the format of a newer release",
          );
          callback(null, { formatVersion, refusal, result: Buffer.alloc(0) });
          return;
        }
        const proposed = await this.#runUnlessStopping(() =>
          this.#proposeLocally(command)
        );
        callback(null, {
          formatVersion,
          refusal: proposed.kind === "error" ? proposed.error : undefined,
          result: Buffer.from(proposed.kind === "ok" ? proposed.value : []),
        });
      },
    };
  }

  /**
   * Refuses new commands, waits for those in flight, and closes the
   * connections to other instances.
   * @param timeoutMilliseconds Maximum time to wait.
   * @returns Whether all commands completed in time.
   */
  async stop(timeoutMilliseconds: number): Promise<boolean> {
    this.#isStopping = true;
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, timeoutMilliseconds);
        this.#onIdle = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
    return this.#inFlight === 0;
  }

  /** Runs a proposal and counts it as in flight; refuses it during the stop. */
  async #runUnlessStopping<Value>(
    run: () => Promise<Result<Value, Refusal>>,
  ): Promise<Result<Value, Refusal>> {
    if (this.#isStopping) {
      return failed(createRefusal("stopping", "This instance is stopping"));
    }
    this.#inFlight += 1;
    try {
      return await run();
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) {
        this.#onIdle?.();
      }
    }
  }

  async #proposeLocally(
    command: Uint8Array,
  ): Promise<Result<Uint8Array, Refusal>> {
    const proposed = await this.#options.log.propose(command);
    return proposed.kind === "error"
      ? failed(createProposeRefusal(proposed.error))
      : proposed;
  }

  #forward(
    address: string,
    command: Uint8Array,
  ): Promise<Result<ControlResult["result"], Refusal>> {
    const request = { formatVersion, command: Buffer.from(command) };
    const timeoutMilliseconds = forwardTimeoutMilliseconds +
      command.length / minimumBytesPerMillisecond;
    const options = { deadline: Date.now() + timeoutMilliseconds };
    return new Promise((resolve) => {
      const client = this.#getClient(address);
      client.propose(request, new Metadata(), options, (error, answer) => {
        if (error !== null) {
          const message = `Leader ${address} did not answer: ${error.details}`;
          resolve(failed(createRefusal("outcome-unknown", message)));
        } else if (answer.refusal !== undefined) {
          resolve(failed(answer.refusal));
        } else {
          resolve(ok(ControlResult.decode(answer.result).result));
        }
      });
    });
  }

  #getClient(address: string): ForwardClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new ForwardClient(address, credentials.createInsecure(), {
        ...channelOptions,
        interceptors: [...this.#options.interceptors],
      });
      this.#clients.set(address, client);
    }
    return client;
  }
}

function isKnownCommand(bytes: Uint8Array): boolean {
  try {
    const decoded = ControlCommand.decode(bytes);
    return decoded.formatVersion <= formatVersion &&
      decoded.command !== undefined;
  } catch {
    return false;
  }
}
