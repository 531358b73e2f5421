import type { EnvironmentDocument } from "../document/mod.ts";
import type { CrashReport } from "../protocol/generated/session.ts";

/** A document revision that a majority confirmed. */
export interface AcceptedDocument {
  readonly revision: number;
  /** Digest of the whole document. */
  readonly digest: string;
  readonly document: EnvironmentDocument;
}

/** Whether nodes should hold their sessions with this instance. */
export type Availability = "available" | "isolated" | "stopping";

/** Another control instance. */
export interface PeerInstance {
  readonly instanceId: string;
  /** Address and port of its gRPC server. */
  readonly address: string;
}

/** What the session host needs of the control process around it. */
export interface ControlState {
  /** Gets the highest confirmed revision; kept while isolated. */
  getAcceptedDocument(environment: string): AcceptedDocument | undefined;
  getAvailability(): Availability;
  /** Gets the quarantined fingerprints, whole list. */
  getQuarantined(environment: string): readonly string[];
  /** Gets the suspects that new sessions are told of. */
  getSuspects(environment: string): readonly string[];
  /** Gets the highest ledger index known as committed. */
  getLedgerIndex(): number;
  /** Gets the other instances; may change. */
  getPeers(): readonly PeerInstance[];
  /** Called for crashes at the nodes of any instance; may repeat a report. */
  onCrashReport(environment: string, report: CrashReport): void;
  /** Called when a suspect completed at a node of any instance. */
  onSuspectCleared(environment: string, fingerprint: string): void;
}
