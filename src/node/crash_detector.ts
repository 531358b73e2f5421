import { connect, type Socket } from "node:net";
import type { Clock } from "../common/mod.ts";
import type { Endpoint } from "../settings/mod.ts";

/** Time limit for the connection that checks whether the target is alive. */
const probeTimeoutMilliseconds = 500;
/**
 * Time in which the end of a probe's connection may mean that the process of the
 * target is ending.
 */
const watchMilliseconds = 500;
/**
 * Time for which the failed calls wait for the end of an accepted probe. Until it
 * is known whether they crashed the target, they must not run at another one.
 */
const settleMilliseconds = 25;
/**
 * Time before a new incarnation of the target in which reset connections are
 * attributed to a crash of the former incarnation.
 */
const restartWindowMilliseconds = 10_000;

/** A call whose connection to the target failed. */
export interface FailedCall {
  /** From the widest to the narrowest. */
  readonly fingerprints: readonly string[];
  /** Whether the call was a suspect, which ran with no other call in flight. */
  readonly ranAlone: boolean;
  /** Called when it is known whether the target crashed. */
  onResult(hasCrashed: boolean): void;
}

/** A crash of the target. */
export interface DetectedCrash {
  /** Fingerprints of each call that failed. */
  readonly calls: readonly (readonly string[])[];
  /** Whether the only one was a suspect, which ran alone. */
  readonly wasAlone: boolean;
  /** Whether the target has been announced with a new incarnation since then. */
  readonly incarnation: "current" | "former";
}

/** Settings of a {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  /** Gets the address of the target; `undefined` before its announcement. */
  getEndpoint(): Endpoint | undefined;
  /** Called once for each crash. */
  onCrash(crash: DetectedCrash): void;
}

interface RecentReset {
  readonly fingerprints: readonly string[];
  readonly ranAlone: boolean;
  readonly milliseconds: number;
}

/**
 * Detects whether failed connections were caused by a crash of the target. A
 * target that crashed refuses connections, or announces itself with a new
 * incarnation. A process that is ending still accepts connections until its
 * listening socket is closed, so the target is probed again when it closes the
 * connection of a probe.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  #pendingCalls: FailedCall[] = [];
  #recentResets: RecentReset[] = [];
  #isProbing = false;
  /** Connection that the target accepted last. */
  #watchedConnection: Socket | undefined;

  /** @param options Clock, target address and listener. */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Checks whether the target crashed, for a call whose connection failed. */
  examine(call: FailedCall): void {
    this.#pendingCalls.push(call);
    if (!this.#isProbing) {
      this.#probe((connection) => this.#watch(connection));
    }
  }

  /** Records that a new incarnation of the target was announced. */
  onNewIncarnation(): void {
    const calls = this.#takePendingCalls();
    const resets = [
      ...this.#takeRecentResets(restartWindowMilliseconds),
      ...this.#createResets(calls),
    ];
    if (resets.length > 0) {
      this.#reportCrash(resets, "former");
    }
    calls.forEach((call) => call.onResult(true));
  }

  /**
   * Connects to the target, and resolves the pending calls unless it accepts.
   * @param onAccepted Called with the connection; has to resolve the calls.
   */
  #probe(onAccepted: (connection: Socket) => void): void {
    const endpoint = this.#options.getEndpoint();
    if (endpoint === undefined) {
      this.#resolvePendingCalls(true);
      return;
    }
    this.#isProbing = true;
    const socket = connect(endpoint.port, endpoint.host);
    socket.setTimeout(probeTimeoutMilliseconds);
    let isFinished = false;
    const finish = (result: "accepted" | "refused" | "timeout"): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      if (result === "accepted") {
        onAccepted(socket);
      } else {
        socket.destroy();
        this.#resolvePendingCalls(result === "refused");
      }
    };
    socket.once("connect", () => finish("accepted"));
    socket.once("timeout", () => finish("timeout"));
    socket.on("error", () => finish("refused"));
  }

  /** Probes again if the target closes a connection that it has accepted. */
  #watch(connection: Socket): void {
    this.#watchedConnection?.destroy();
    this.#watchedConnection = connection;
    let isSettled = false;
    const settleTimer = setTimeout(() => {
      isSettled = true;
      this.#resolvePendingCalls(false);
    }, settleMilliseconds);
    connection.setTimeout(watchMilliseconds, () => {
      this.#watchedConnection = undefined;
      connection.destroy();
    });
    connection.once("close", () => {
      clearTimeout(settleTimer);
      if (this.#watchedConnection === connection) {
        this.#watchedConnection = undefined;
        if (!isSettled || !this.#isProbing) {
          this.#probe((accepted) => {
            accepted.destroy();
            this.#resolvePendingCalls(false);
          });
        }
      }
    });
    // Without a reader, the end of the connection is not noticed.
    connection.resume();
    connection.unref();
  }

  #resolvePendingCalls(hasCrashed: boolean): void {
    this.#isProbing = false;
    const calls = this.#takePendingCalls();
    const resets = this.#createResets(calls);
    if (hasCrashed) {
      // The target outlived the older ones: it held the connection of their probe.
      const crashed = [...this.#takeRecentResets(watchMilliseconds), ...resets];
      if (crashed.length > 0) {
        this.#reportCrash(crashed, "current");
      }
    } else {
      this.#recentResets = [...this.#recentResets, ...resets].slice(-1024);
    }
    calls.forEach((call) => call.onResult(hasCrashed));
  }

  #takePendingCalls(): FailedCall[] {
    const calls = this.#pendingCalls;
    this.#pendingCalls = [];
    return calls;
  }

  /** Removes all resets, and gets those that are not older than a given time. */
  #takeRecentResets(windowMilliseconds: number): RecentReset[] {
    const oldest = this.#options.clock.monotonicMilliseconds() -
      windowMilliseconds;
    const resets = this.#recentResets.filter((each) =>
      each.milliseconds >= oldest
    );
    this.#recentResets = [];
    return resets;
  }

  #createResets(calls: readonly FailedCall[]): RecentReset[] {
    const milliseconds = this.#options.clock.monotonicMilliseconds();
    return calls.map(({ fingerprints, ranAlone }) => ({
      fingerprints,
      ranAlone,
      milliseconds,
    }));
  }

  #reportCrash(
    resets: readonly RecentReset[],
    incarnation: DetectedCrash["incarnation"],
  ): void {
    this.#options.onCrash({
      calls: resets.map((each) => each.fingerprints),
      wasAlone: resets.length === 1 && resets[0]?.ranAlone === true,
      incarnation,
    });
  }
}
