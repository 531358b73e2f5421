import type { EnvironmentDocument } from "../document/mod.ts";

/** The confirmed document of an environment. */
export interface AcceptedDocument {
  readonly environment: string;
  readonly revision: number;
  /** Digest of the exact bytes. */
  readonly digest: string;
  readonly document: EnvironmentDocument;
}

/** What the control process tells the session server. */
export interface SessionHost {
  /** Own address (host:port). */
  readonly address: string;
  /** Gets the document that a majority confirmed. */
  getAcceptedDocument(environment: string): AcceptedDocument | undefined;
  /** Gets the fingerprints in quarantine. */
  getQuarantined(environment: string): readonly string[];
  /** Reports whether this instance reaches no majority. */
  isIsolated(): boolean;
  /** Gets the highest committed index that this instance applied. */
  getLedgerIndex(): number;
  /** Gets the addresses of all members, the leader first. */
  getControlAddresses(): readonly string[];
  /** Calls a function after a document or the quarantine changed. */
  subscribe(listener: (environment: string | undefined) => void): void;
  /** Quarantines a fingerprint on all instances; retried by the caller. */
  quarantine(request: {
    readonly environment: string;
    readonly fingerprint: string;
    readonly reason: string;
    readonly reportedBy: string;
  }): Promise<boolean>;
}
