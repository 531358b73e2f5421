import type { EnvironmentDocument } from "../document/mod.ts";
import type { CrashReport } from "../protocol/generated/session.ts";

/** A document revision that a majority confirmed. */
export interface AcceptedDocument {
  readonly revision: number;
  /** Digest of the whole document. */
  readonly digest: string;
  readonly document: EnvironmentDocument;
}

/**
 * Whether nodes should hold their sessions with this instance. An instance that is
 * isolated cannot know whether its documents are the newest ones; the documents of
 * one that is outdated may not be.
 */
export type Availability = "available" | "isolated" | "outdated" | "stopping";

/** Another control instance. */
export interface PeerInstance {
  readonly instanceId: string;
  /** Address and port of its gRPC server. */
  readonly address: string;
}

/** State of the control process that the session host reads, and its events. */
export interface ControlState {
  /**
   * Gets the highest confirmed revision, also while the instance is isolated.
   */
  getAcceptedDocument(environment: string): AcceptedDocument | undefined;
  /**
   * Reports whether the highest confirmed revision can be read, so that it is the
   * accepted document.
   */
  isDocumentReadable(environment: string): boolean;
  getAvailability(): Availability;
  /** Gets all quarantined fingerprints. */
  getQuarantined(environment: string): readonly string[];
  /** Gets the fingerprints of the suspects, which are sent to new sessions. */
  getSuspects(environment: string): readonly string[];
  /** Gets the highest ledger index known as committed. */
  getLedgerIndex(): number;
  /** Gets the other instances, which may change over time. */
  getPeers(): readonly PeerInstance[];
  /**
   * Called for each crash at a node of any instance. The same report may arrive
   * more than once.
   */
  onCrashReport(environment: string, report: CrashReport): void;
  /**
   * Called when a suspect request completed without a crash at a node of any
   * instance.
   */
  onSuspectCleared(environment: string, fingerprint: string): void;
}
