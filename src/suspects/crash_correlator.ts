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
  /** Maximum number of clearances that are remembered. */
  readonly maximumClearances?: number;
  /** Time after which a report is removed. */
  readonly retentionMilliseconds?: number;
}

interface StoredReport {
  readonly fingerprints: Set<string>;
  readonly wasAlone: boolean;
  readonly receivedMilliseconds: number;
}

/**
 * Time for which a node may not know of a clearance, or still run a request that
 * was dispatched as a suspect before.
 */
const clearanceMilliseconds = 10_000;

const emptyDecision: CrashDecision = { suspects: [], quarantined: [] };

/**
 * Decides from the crash reports of all nodes which fingerprints are suspects
 * and which are quarantined.
 *
 * All requests in flight at a crash become suspects, which run alone. Only a crash
 * of a target that ran a single request is evidence against that request: a
 * busy kind of request is in flight at every crash. The narrowest fingerprint of
 * the request is quarantined if it was in flight at an earlier crash. A wider one,
 * which requests of other callers have too, is quarantined if it ran alone at an
 * earlier crash, and only if the narrowest was never seen before.
 *
 * A request that crashes targets never completes. A completion anywhere therefore
 * removes the evidence against its fingerprints.
 */
export class CrashCorrelator {
  readonly #clock: Clock;
  readonly #maximumReports: number;
  readonly #maximumFingerprints: number;
  readonly #retentionMilliseconds: number;
  /** Stored reports by identity, oldest first. */
  readonly #reports = new Map<string, StoredReport>();
  readonly #reportsByFingerprint = new Map<string, Set<StoredReport>>();
  readonly #maximumClearances: number;
  /** Monotonic time of each clearance, oldest first. */
  readonly #clearances = new Map<string, number>();

  /** @param options Clock and limits. */
  constructor(options: CrashCorrelatorOptions) {
    this.#clock = options.clock;
    this.#maximumReports = options.maximumReports ?? 500;
    this.#maximumFingerprints = options.maximumFingerprints ?? 512;
    this.#maximumClearances = options.maximumClearances ?? 10_000;
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
    const proven = report.wasAlone
      ? this.#findProvenFingerprint(fingerprints)
      : undefined;
    const quarantined = proven === undefined ? [] : [proven];
    this.#addReport(report.reportId, fingerprints, report.wasAlone);
    quarantined.forEach((each) => this.#removeFingerprint(each));
    const suspects = fingerprints.filter((each) => !quarantined.includes(each));
    return { suspects, quarantined };
  }

  /**
   * Records that a request completed: the stored reports are no evidence against
   * its fingerprint any more.
   * @param fingerprint The fingerprint.
   */
  onCleared(fingerprint: string): void {
    this.#removeFingerprint(fingerprint);
    this.#clearances.delete(fingerprint);
    this.#clearances.set(fingerprint, this.#clock.monotonicMilliseconds());
    if (this.#clearances.size > this.#maximumClearances) {
      const [oldest] = this.#clearances.keys();
      this.#clearances.delete(oldest ?? "");
    }
  }

  /**
   * Finds the fingerprint by which a request is recognized that crashed a target
   * while it ran alone.
   * @param fingerprints Its fingerprints, from the widest to the narrowest.
   */
  #findProvenFingerprint(fingerprints: readonly string[]): string | undefined {
    const narrowest = fingerprints.at(-1);
    if (narrowest === undefined || this.#reportsByFingerprint.has(narrowest)) {
      return narrowest;
    }
    const isKnown = fingerprints.some((each) =>
      this.#reportsByFingerprint.has(each)
    );
    if (isKnown) {
      return fingerprints.findLast((each) =>
        [...this.#reportsByFingerprint.get(each) ?? []].some((report) =>
          report.wasAlone
        )
      );
    }
    // The node got the suspect from an instance whose reports are lost, unless
    // it does not know yet that the suspect was cleared.
    return fingerprints.some((each) => this.#isRecentlyCleared(each))
      ? undefined
      : narrowest;
  }

  #isRecentlyCleared(fingerprint: string): boolean {
    const cleared = this.#clearances.get(fingerprint);
    return cleared !== undefined &&
      this.#clock.monotonicMilliseconds() - cleared < clearanceMilliseconds;
  }

  #removeFingerprint(fingerprint: string): void {
    this.#reportsByFingerprint.get(fingerprint)?.forEach((report) =>
      report.fingerprints.delete(fingerprint)
    );
    this.#reportsByFingerprint.delete(fingerprint);
  }

  #addReport(
    reportId: string,
    fingerprints: readonly string[],
    wasAlone: boolean,
  ): void {
    const report = {
      fingerprints: new Set(fingerprints),
      wasAlone,
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
