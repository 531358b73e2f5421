import type { Clock } from "../common/mod.ts";
import type { CrashReport } from "./suspect_list.ts";

/** A crash report as control receives it. */
export interface ReceivedCrashReport extends CrashReport {
  /** Unique per crash; used to ignore repeated reports. */
  readonly reportId: string;
  readonly targetId: string;
}

/** The outcome of a crash report. */
export interface CrashDecision {
  /** Fingerprints of requests that nodes should run alone. */
  readonly suspects: readonly string[];
  /** Fingerprints of requests that no node should run. */
  readonly quarantined: readonly string[];
}

/** Options of a crash correlator. */
export interface CrashCorrelatorOptions {
  readonly clock: Clock;
  /** Maximum number of stored reports; the oldest are dropped first. */
  readonly maximumReports?: number;
  /** Maximum number of fingerprints stored per report. */
  readonly maximumFingerprints?: number;
  /** Time after which a report is removed. */
  readonly retentionMilliseconds?: number;
}

interface StoredReport {
  readonly fingerprints: Set<string>;
  readonly receivedMilliseconds: number;
}

const emptyDecision: CrashDecision = { suspects: [], quarantined: [] };

/**
 * Decides from the crash reports of all nodes which fingerprints are suspects
 * and which are quarantined. A fingerprint is quarantined when it ran alone while
 * a target crashed, or when it is the only one that two crashes share. All others
 * of a report are suspects.
 */
export class CrashCorrelator {
  readonly #clock: Clock;
  readonly #maximumReports: number;
  readonly #maximumFingerprints: number;
  readonly #retentionMilliseconds: number;
  /** Stored reports by identity, oldest first. */
  readonly #reports = new Map<string, StoredReport>();
  readonly #reportsByFingerprint = new Map<string, Set<StoredReport>>();

  /** @param options Clock and limits. */
  constructor(options: CrashCorrelatorOptions) {
    this.#clock = options.clock;
    this.#maximumReports = options.maximumReports ?? 1000;
    this.#maximumFingerprints = options.maximumFingerprints ?? 256;
    this.#retentionMilliseconds = options.retentionMilliseconds ?? 600_000;
  }

  /** Number of stored reports. */
  get reportCount(): number {
    return this.#reports.size;
  }

  /** Number of distinct fingerprints in the stored reports. */
  get fingerprintCount(): number {
    return this.#reportsByFingerprint.size;
  }

  /**
   * Handles a crash report.
   * @param report The report.
   * @returns New suspects and fingerprints to quarantine.
   */
  onReport(report: ReceivedCrashReport): CrashDecision {
    this.#removeExpiredReports();
    if (this.#reports.has(report.reportId)) {
      return emptyDecision;
    }
    const fingerprints = [...new Set(report.fingerprints)]
      .slice(0, this.#maximumFingerprints);
    const quarantined = report.wasAlone && fingerprints.length === 1
      ? fingerprints
      : this.#getSoleSharedFingerprints(fingerprints);
    this.#addReport(report.reportId, fingerprints);
    quarantined.forEach((each) => this.onCleared(each));
    const suspects = fingerprints.filter((each) => !quarantined.includes(each));
    return { suspects, quarantined };
  }

  /**
   * Removes a fingerprint from the stored reports, so that it no longer counts
   * as shared between crashes. Called when a suspect completed or was
   * quarantined.
   * @param fingerprint The fingerprint.
   */
  onCleared(fingerprint: string): void {
    this.#reportsByFingerprint.get(fingerprint)?.forEach((report) =>
      report.fingerprints.delete(fingerprint)
    );
    this.#reportsByFingerprint.delete(fingerprint);
  }

  /**
   * Gets the fingerprints that are the only one shared with some earlier report.
   */
  #getSoleSharedFingerprints(fingerprints: readonly string[]): string[] {
    const common = new Map<StoredReport, string[]>();
    for (const fingerprint of fingerprints) {
      for (const report of this.#reportsByFingerprint.get(fingerprint) ?? []) {
        const shared = common.get(report) ?? [];
        shared.push(fingerprint);
        common.set(report, shared);
      }
    }
    const single = [...common.values()].filter(({ length }) => length === 1);
    return [...new Set(single.flat())];
  }

  #addReport(reportId: string, fingerprints: readonly string[]): void {
    const report = {
      fingerprints: new Set(fingerprints),
      receivedMilliseconds: this.#clock.monotonicMilliseconds(),
    };
    this.#reports.set(reportId, report);
    for (const fingerprint of fingerprints) {
      const known = this.#reportsByFingerprint.get(fingerprint);
      if (known === undefined) {
        this.#reportsByFingerprint.set(fingerprint, new Set([report]));
      } else {
        known.add(report);
      }
    }
    if (this.#reports.size > this.#maximumReports) {
      const [oldest] = this.#reports.keys();
      this.#removeReport(oldest ?? "");
    }
  }

  #removeExpiredReports(): void {
    const limit = this.#clock.monotonicMilliseconds() -
      this.#retentionMilliseconds;
    for (const [reportId, report] of this.#reports) {
      if (report.receivedMilliseconds > limit) {
        return;
      }
      this.#removeReport(reportId);
    }
  }

  #removeReport(reportId: string): void {
    const report = this.#reports.get(reportId);
    this.#reports.delete(reportId);
    for (const fingerprint of report?.fingerprints ?? []) {
      const known = this.#reportsByFingerprint.get(fingerprint);
      known?.delete(report as StoredReport);
      if (known?.size === 0) {
        this.#reportsByFingerprint.delete(fingerprint);
      }
    }
  }
}
