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
 * Time before a new incarnation of the target in which reset connections are
 * attributed to a crash of the former incarnation.
 */
const restartWindowMilliseconds = 10_000;

/** A call whose connection to the target failed. */
export interface FailedCall {
  readonly fingerprint: string;
  /** Whether the call was a suspect, which ran with no other call in flight. */
  readonly ranAlone: boolean;
  /** Called when it is known whether the target crashed. */
  onResult(hasCrashed: boolean): void;
}

/** A crash of the target. */
export interface DetectedCrash {
  /** Fingerprints of the calls that failed. */
  readonly fingerprints: readonly string[];
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
  readonly fingerprint: string;
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
    const oldest = this.#options.clock.monotonicMilliseconds() -
      restartWindowMilliseconds;
    const resets = this.#recentResets.filter((each) =>
      each.milliseconds >= oldest
    );
    this.#recentResets = [];
    if (resets.length > 0) {
      this.#reportCrash(resets, "former");
    }
  }

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
      this.#isProbing = false;
      if (result === "accepted") {
        onAccepted(socket);
      } else {
        socket.destroy();
      }
      this.#resolvePendingCalls(result === "refused");
    };
    socket.once("connect", () => finish("accepted"));
    socket.once("timeout", () => finish("timeout"));
    socket.on("error", () => finish("refused"));
  }

  /** Probes again if the target closes a connection that it has accepted. */
  #watch(connection: Socket): void {
    this.#watchedConnection?.destroy();
    this.#watchedConnection = connection;
    const stopWatching = (): void => {
      this.#watchedConnection = undefined;
      connection.destroy();
    };
    connection.setTimeout(watchMilliseconds, stopWatching);
    connection.once("close", () => {
      if (this.#watchedConnection === connection) {
        this.#watchedConnection = undefined;
        if (!this.#isProbing) {
          this.#probe((accepted) => accepted.destroy());
        }
      }
    });
    // Without a reader, the end of the connection is not noticed.
    connection.resume();
    connection.unref();
  }

  #resolvePendingCalls(hasCrashed: boolean): void {
    const calls = this.#pendingCalls;
    this.#pendingCalls = [];
    const milliseconds = this.#options.clock.monotonicMilliseconds();
    const resets = calls.map(({ fingerprint, ranAlone }) => ({
      fingerprint,
      ranAlone,
      milliseconds,
    }));
    if (hasCrashed) {
      // A target that held its connection for longer has crashed since then.
      const earlier = this.#recentResets.filter((each) =>
        milliseconds - each.milliseconds < watchMilliseconds
      );
      this.#recentResets = [];
      if (earlier.length + resets.length > 0) {
        this.#reportCrash([...earlier, ...resets], "current");
      }
    } else {
      this.#recentResets = [...this.#recentResets, ...resets].slice(-1024);
    }
    for (const call of calls) {
      call.onResult(hasCrashed);
    }
  }

  #reportCrash(
    resets: readonly RecentReset[],
    incarnation: DetectedCrash["incarnation"],
  ): void {
    this.#options.onCrash({
      fingerprints: resets.map((each) => each.fingerprint),
      wasAlone: resets.length === 1 && resets[0]?.ranAlone === true,
      incarnation,
    });
  }
}
