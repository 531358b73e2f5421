import type { Clock } from "../common/mod.ts";
import type { CrashReport } from "./suspect_list.ts";

/** A crash report as it arrives at control. */
export interface ReceivedCrashReport extends CrashReport {
  /** Unique per crash; a repeated report is ignored. */
  readonly reportId: string;
  readonly targetId: string;
}

/** What follows from a crash report. */
export interface CrashDecision {
  /** Fingerprints that nodes should run alone. */
  readonly suspects: readonly string[];
  /** Fingerprints that no node should run. */
  readonly quarantined: readonly string[];
}

/** Options of a crash correlator. */
export interface CrashCorrelatorOptions {
  readonly clock: Clock;
  /** Crashes that are remembered at most; the oldest are dropped first. */
  readonly maximumReports?: number;
  /** Fingerprints that are remembered per crash at most. */
  readonly maximumFingerprints?: number;
  /** Time after which a crash is forgotten. */
  readonly retentionMilliseconds?: number;
}

interface StoredReport {
  readonly fingerprints: Set<string>;
  readonly receivedMilliseconds: number;
}

const noDecision: CrashDecision = { suspects: [], quarantined: [] };

/**
 * Decides, from crash reports of all nodes, which fingerprints are suspects
 * and which are quarantined: one that crashed a target while it ran alone, or
 * that is the only one common to two crashes.
 */
export class CrashCorrelator {
  readonly #clock: Clock;
  readonly #maximumReports: number;
  readonly #maximumFingerprints: number;
  readonly #memoryMilliseconds: number;
  /** Known crashes, oldest first. */
  readonly #reports = new Map<string, StoredReport>();
  /** Crashes by fingerprint. */
  readonly #index = new Map<string, Set<StoredReport>>();

  /** @param options Clock and bounds. */
  constructor(options: CrashCorrelatorOptions) {
    this.#clock = options.clock;
    this.#maximumReports = options.maximumReports ?? 1000;
    this.#maximumFingerprints = options.maximumFingerprints ?? 256;
    this.#memoryMilliseconds = options.retentionMilliseconds ?? 600_000;
  }

  /** Number of crashes that are remembered. */
  get reportCount(): number {
    return this.#reports.size;
  }

  /** Number of fingerprints that are remembered. */
  get fingerprintCount(): number {
    return this.#index.size;
  }

  /**
   * Receives a crash report.
   * @param report The report.
   * @returns New suspects and fingerprints to quarantine.
   */
  onReport(report: ReceivedCrashReport): CrashDecision {
    this.#forgetOld();
    if (this.#reports.has(report.reportId)) {
      return noDecision;
    }
    const fingerprints = [...new Set(report.fingerprints)]
      .slice(0, this.#maximumFingerprints);
    const quarantined = report.wasAlone && fingerprints.length === 1
      ? fingerprints
      : this.#getOnlyCommon(fingerprints);
    this.#remember(report.reportId, fingerprints);
    quarantined.forEach((each) => this.onCleared(each));
    const suspects = fingerprints.filter((each) => !quarantined.includes(each));
    return { suspects, quarantined };
  }

  /**
   * Records that a suspect completed, so that it no longer connects crashes.
   * @param fingerprint The fingerprint.
   */
  onCleared(fingerprint: string): void {
    this.#index.get(fingerprint)?.forEach((report) =>
      report.fingerprints.delete(fingerprint)
    );
    this.#index.delete(fingerprint);
  }

  /** Gets the fingerprints that are the only one shared with an older crash. */
  #getOnlyCommon(fingerprints: readonly string[]): string[] {
    const common = new Map<StoredReport, string[]>();
    for (const fingerprint of fingerprints) {
      for (const report of this.#index.get(fingerprint) ?? []) {
        const shared = common.get(report) ?? [];
        shared.push(fingerprint);
        common.set(report, shared);
      }
    }
    const single = [...common.values()].filter(({ length }) => length === 1);
    return [...new Set(single.flat())];
  }

  #remember(reportId: string, fingerprints: readonly string[]): void {
    const report = {
      fingerprints: new Set(fingerprints),
      receivedMilliseconds: this.#clock.monotonicMilliseconds(),
    };
    this.#reports.set(reportId, report);
    for (const fingerprint of fingerprints) {
      const known = this.#index.get(fingerprint);
      if (known === undefined) {
        this.#index.set(fingerprint, new Set([report]));
      } else {
        known.add(report);
      }
    }
    if (this.#reports.size > this.#maximumReports) {
      const [oldest] = this.#reports.keys();
      this.#forget(oldest ?? "");
    }
  }

  #forgetOld(): void {
    const limit = this.#clock.monotonicMilliseconds() -
      this.#memoryMilliseconds;
    for (const [reportId, report] of this.#reports) {
      if (report.receivedMilliseconds > limit) {
        return;
      }
      this.#forget(reportId);
    }
  }

  #forget(reportId: string): void {
    const report = this.#reports.get(reportId);
    this.#reports.delete(reportId);
    for (const fingerprint of report?.fingerprints ?? []) {
      const known = this.#index.get(fingerprint);
      known?.delete(report as StoredReport);
      if (known?.size === 0) {
        this.#index.delete(fingerprint);
      }
    }
  }
}
