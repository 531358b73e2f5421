import type { Clock } from "../common/mod.ts";
import { bucketsPerClass } from "./priority.ts";

/** Time after which the next refused call is a probe, whatever it is. */
const maximumProbeIntervalMilliseconds = 250;
/** Refused calls after which the next one is a probe, whatever it is. */
const maximumShedCallsPerProbe = 200;
/** Refused calls after which one near the edge is a probe: about 1 in 100. */
const shedCallsPerProbe = 75;
/** A call this close to the most important one refused makes a good probe. */
const probePriorityMargin = 8;
/** A level fades once nothing was heard of it for this long. */
const decayDelayMilliseconds = 1000;
const decayHalfLifeMilliseconds = 500;

/** Weight of one news when news are frequent. */
const minimumReportWeight = 1 / 8;
/** News older than this hardly count any more. */
const reportLifetimeMilliseconds = 100;

/** Options of a level table. */
export interface LevelTableOptions {
  readonly clock: Clock;
  readonly classCount: number;
}

interface LevelEntry {
  level: number;
  reportedMilliseconds: number;
}

/** Admission levels heard from other services, at the entry node. */
export class LevelTable {
  readonly #clock: Clock;
  readonly #priorityCount: number;
  readonly #entries = new Map<string, LevelEntry>();
  #shedSinceProbe = 0;
  /** Lowest importance number refused since the last probe. */
  #highestShedPriority = Infinity;
  #lastProbeMilliseconds = -Infinity;

  /** @param options Clock and number of classes. */
  constructor(options: LevelTableOptions) {
    this.#clock = options.clock;
    this.#priorityCount = options.classCount * bucketsPerClass;
  }

  /**
   * Records a level heard from a service. The targets of a service differ, so
   * the table keeps a mean of recent news; a response without a level counts
   * as news of 0.
   * @param service Name of the service.
   * @param level Its level; 0 is open.
   */
  record(service: string, level: number): void {
    const bounded = Math.min(Math.max(level, 0), this.#priorityCount - 1);
    const entry = this.#entries.get(service);
    if (entry === undefined && bounded === 0) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    if (entry === undefined) {
      this.#entries.set(service, { level: bounded, reportedMilliseconds: now });
      return;
    }
    const age = now - entry.reportedMilliseconds;
    const weight = Math.max(
      minimumReportWeight,
      Math.min(1, age / reportLifetimeMilliseconds),
    );
    const known = this.#getMean(entry, now);
    entry.level = known + weight * (bounded - known);
    entry.reportedMilliseconds = now;
    if (entry.level < 0.5) {
      this.#entries.delete(service);
    }
  }

  /**
   * Decides whether a call should be refused because one of the services that
   * it reaches would refuse it. Lets a probe share through.
   * @param services Services that the route reaches.
   * @param importance `getImportance` of the call.
   * @returns Whether to refuse the call.
   */
  shouldShed(services: Iterable<string>, importance: number): boolean {
    if (this.#entries.size === 0) {
      return false;
    }
    const now = this.#clock.monotonicMilliseconds();
    for (const service of services) {
      const level = this.#getLevel(service, now);
      if (level > 0 && importance >= this.#priorityCount - level) {
        return !this.#shouldProbe(importance, now);
      }
    }
    return false;
  }

  /** Gets the levels that are not open. */
  getEntries(): readonly { service: string; level: number }[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#entries.keys()]
      .map((service) => ({ service, level: this.#getLevel(service, now) }))
      .filter(({ level }) => level > 0);
  }

  #getLevel(service: string, now: number): number {
    const entry = this.#entries.get(service);
    if (entry === undefined) {
      return 0;
    }
    const level = Math.round(this.#getMean(entry, now));
    if (level === 0) {
      this.#entries.delete(service);
    }
    return level;
  }

  #getMean(entry: LevelEntry, now: number): number {
    const decayMilliseconds = now - entry.reportedMilliseconds -
      decayDelayMilliseconds;
    return decayMilliseconds <= 0
      ? entry.level
      : entry.level * 0.5 ** (decayMilliseconds / decayHalfLifeMilliseconds);
  }

  /**
   * Decides whether a call becomes a probe. Probes are taken from the most
   * important calls that are refused, or a balance view would run as a probe
   * while transfers are refused.
   */
  #shouldProbe(importance: number, now: number): boolean {
    this.#shedSinceProbe++;
    this.#highestShedPriority = Math.min(this.#highestShedPriority, importance);
    const elapsed = now - this.#lastProbeMilliseconds;
    const isNearEdge =
      importance <= this.#highestShedPriority + probePriorityMargin;
    const isDue = isNearEdge
      ? this.#shedSinceProbe >= shedCallsPerProbe ||
        elapsed >= maximumProbeIntervalMilliseconds / 2
      : this.#shedSinceProbe >= maximumShedCallsPerProbe ||
        elapsed >= maximumProbeIntervalMilliseconds;
    if (!isDue) {
      return false;
    }
    this.#shedSinceProbe = 0;
    this.#highestShedPriority = Infinity;
    this.#lastProbeMilliseconds = now;
    return true;
  }
}
