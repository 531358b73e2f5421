import { connect } from "node:net";
import type { Clock } from "../common/mod.ts";
import type { Endpoint } from "../settings/mod.ts";

/** Time limit for the connection that checks whether the target is alive. */
const probeTimeoutMilliseconds = 500;
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

/** Settings of a {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  /** Gets the address of the target; `undefined` before its announcement. */
  getEndpoint(): Endpoint | undefined;
  /** Called once for each crash, with the fingerprints of the failed calls. */
  onCrash(fingerprints: readonly string[], wasAlone: boolean): void;
}

interface RecentReset {
  readonly fingerprint: string;
  readonly ranAlone: boolean;
  readonly milliseconds: number;
}

/**
 * Detects whether failed connections were caused by a crash of the target. A
 * target that crashed refuses connections, or announces itself with a new
 * incarnation.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  #pendingCalls: FailedCall[] = [];
  #recentResets: RecentReset[] = [];
  #isProbing = false;

  /** @param options Clock, target address and listener. */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Checks whether the target crashed, for a call whose connection failed. */
  examine(call: FailedCall): void {
    this.#pendingCalls.push(call);
    if (!this.#isProbing) {
      this.#probe();
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
      this.#reportCrash(resets);
    }
  }

  #probe(): void {
    const endpoint = this.#options.getEndpoint();
    if (endpoint === undefined) {
      this.#resolvePendingCalls(true);
      return;
    }
    this.#isProbing = true;
    const socket = connect(endpoint.port, endpoint.host);
    socket.setTimeout(probeTimeoutMilliseconds);
    const finish = (hasCrashed: boolean): void => {
      socket.removeAllListeners();
      socket.on("error", () => {});
      socket.destroy();
      this.#isProbing = false;
      this.#resolvePendingCalls(hasCrashed);
    };
    socket.once("connect", () => finish(false));
    socket.once("timeout", () => finish(false));
    socket.once("error", () => finish(true));
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
      this.#reportCrash(resets);
    } else {
      this.#recentResets = [...this.#recentResets, ...resets].slice(-1024);
    }
    for (const call of calls) {
      call.onResult(hasCrashed);
    }
  }

  #reportCrash(resets: readonly RecentReset[]): void {
    const wasAlone = resets.length === 1 && resets[0]?.ranAlone === true;
    this.#options.onCrash(resets.map((each) => each.fingerprint), wasAlone);
  }
}
