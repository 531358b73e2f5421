import type { Clock } from "../common/mod.ts";
import { bucketsPerClass } from "./priority.ts";

/** Time after which the next refused call is a probe, whatever its priority. */
const maximumProbeIntervalMilliseconds = 250;
/** Refused calls after which the next is a probe, whatever its priority. */
const maximumShedCallsPerProbe = 200;
/**
 * Refused calls after which the next with about the highest refused priority is
 * a probe, which makes about 1 in 100 calls a probe.
 */
const shedCallsPerProbe = 75;
/** Distance from the highest refused priority at which calls are good probes. */
const probePriorityMargin = 8;
/** Time without a report after which a level starts to decay. */
const decayDelayMilliseconds = 1000;
const decayHalfLifeMilliseconds = 500;
/**
 * Time after a level above 0 for which reports of 0 are kept, so that they are
 * passed on to nodes that still have the former level.
 */
const zeroLifetimeMilliseconds = 10_000;

/** Weight of one report in the mean when reports are frequent. */
const minimumReportWeight = 1 / 8;
/** Age at which a level is replaced by the next report rather than averaged. */
const reportLifetimeMilliseconds = 100;

/** Options of a level table. */
export interface LevelTableOptions {
  readonly clock: Clock;
  readonly classCount: number;
}

interface LevelEntry {
  level: number;
  reportedMilliseconds: number;
  /** Time of the last report above 0. */
  raisedMilliseconds: number;
}

/**
 * Admission levels that other services reported to this node. As the entry node
 * of a request, it refuses calls that a service on their way would refuse.
 */
export class LevelTable {
  readonly #clock: Clock;
  readonly #priorityCount: number;
  readonly #entries = new Map<string, LevelEntry>();
  #shedSinceProbe = 0;
  /** Lowest priority number refused since the last probe. */
  #highestShedPriority = Infinity;
  #lastProbeMilliseconds = -Infinity;

  /** @param options Clock and number of classes. */
  constructor(options: LevelTableOptions) {
    this.#clock = options.clock;
    this.#priorityCount = options.classCount * bucketsPerClass;
  }

  /**
   * Records a level that a target of a service reported. Targets of a service
   * report different levels, so the table keeps a mean of recent reports.
   * @param service Name of the service.
   * @param level Its level; 0 refuses nothing.
   */
  record(service: string, level: number): void {
    const bounded = Math.min(Math.max(level, 0), this.#priorityCount - 1);
    const entry = this.#entries.get(service);
    if (entry === undefined && bounded === 0) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    if (entry === undefined) {
      this.#entries.set(service, {
        level: bounded,
        reportedMilliseconds: now,
        raisedMilliseconds: now,
      });
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
    if (bounded > 0) {
      entry.raisedMilliseconds = now;
    }
    if (entry.level < 0.5) {
      entry.level = 0;
      this.#deleteIfExpired(service, entry, now);
    }
  }

  /**
   * Decides whether to refuse a call because one of the services that it
   * reaches would refuse it. A few such calls pass as probes, which get a newer
   * level from the service.
   * @param services Services that the route reaches.
   * @param priority `getPriority` of the call.
   * @returns Whether to refuse the call.
   */
  shouldShed(services: Iterable<string>, priority: number): boolean {
    if (this.#entries.size === 0) {
      return false;
    }
    const now = this.#clock.monotonicMilliseconds();
    for (const service of services) {
      const level = this.#getLevel(service, now);
      if (level > 0 && priority >= this.#priorityCount - level) {
        return !this.#shouldProbe(priority, now);
      }
    }
    return false;
  }

  /** Gets the levels above 0. */
  getEntries(): readonly { service: string; level: number }[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#entries.keys()]
      .map((service) => ({ service, level: this.#getLevel(service, now) }))
      .filter(({ level }) => level > 0);
  }

  /**
   * Gets the levels that were reported lately, for other nodes. A level of 0
   * says that the service had a level and has none now. Older levels are left
   * out: they would replace newer ones that the other node has.
   */
  getRecentReports(): readonly { service: string; level: number }[] {
    const now = this.#clock.monotonicMilliseconds();
    const reports: { service: string; level: number }[] = [];
    for (const [service, { level, reportedMilliseconds }] of this.#entries) {
      if (now - reportedMilliseconds <= decayDelayMilliseconds) {
        reports.push({ service, level: Math.round(level) });
      }
    }
    return reports;
  }

  #getLevel(service: string, now: number): number {
    const entry = this.#entries.get(service);
    if (entry === undefined) {
      return 0;
    }
    const level = Math.round(this.#getMean(entry, now));
    if (level === 0) {
      this.#deleteIfExpired(service, entry, now);
    }
    return level;
  }

  #deleteIfExpired(service: string, entry: LevelEntry, now: number): void {
    if (now - entry.raisedMilliseconds > zeroLifetimeMilliseconds) {
      this.#entries.delete(service);
    }
  }

  #getMean(entry: LevelEntry, now: number): number {
    const decayMilliseconds = now - entry.reportedMilliseconds -
      decayDelayMilliseconds;
    return decayMilliseconds <= 0
      ? entry.level
      : entry.level * 0.5 ** (decayMilliseconds / decayHalfLifeMilliseconds);
  }

  /**
   * Decides whether a call becomes a probe. Probes are preferably calls of the
   * highest refused priority. Otherwise, a call such as a balance view would
   * run as a probe while more important transfers are refused.
   */
  #shouldProbe(priority: number, now: number): boolean {
    this.#shedSinceProbe++;
    this.#highestShedPriority = Math.min(this.#highestShedPriority, priority);
    const elapsed = now - this.#lastProbeMilliseconds;
    const isPreferredProbe =
      priority <= this.#highestShedPriority + probePriorityMargin;
    const isDue = isPreferredProbe
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
