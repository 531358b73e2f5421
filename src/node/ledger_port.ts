import type { RefusalReason } from "../request/mod.ts";

/** A response that the ledger stores for a key. */
export interface LedgerAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** An idempotency key within the environment of this node. */
export interface LedgerKey {
  readonly service: string;
  readonly key: string;
}

/** A claim of a key, which a node requests before it runs the call. */
export interface ClaimOptions extends LedgerKey {
  /** Unique ID for each attempt. */
  readonly claimId: string;
  readonly fingerprint: string;
  readonly deadlineMilliseconds: number;
  readonly entryIndex: number;
}

/** Why a claim was denied. */
export type ClaimDenial =
  | Extract<
    RefusalReason,
    | "claim-ran"
    | "claim-in-progress"
    | "claim-unknown"
    | "claim-superseded"
    | "key-conflict"
    | "ledger-full"
  >
  | "claim-released";

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: "granted" }
  | {
    readonly kind: "denied";
    readonly reason: ClaimDenial;
    readonly answer?: LedgerAnswer | undefined;
  }
  /** Not granted. The ledger releases a claim that was recorded nevertheless. */
  | { readonly kind: "unavailable" };

/** State of a key when it was fenced. */
export type FenceOutcome =
  | { readonly kind: "absent" }
  | { readonly kind: "in-progress" }
  | { readonly kind: "ran"; readonly answer?: LedgerAnswer | undefined }
  | { readonly kind: "unknown" }
  | { readonly kind: "unavailable" };

/** Interface of the ledger for the node. Its promises are never rejected. */
export interface LedgerPort {
  claim(options: ClaimOptions): Promise<ClaimOutcome>;
  /** Records that a call ran; resolves also when recording was given up. */
  complete(
    options: LedgerKey & { claimId: string; answer?: LedgerAnswer | undefined },
  ): Promise<void>;
  /** Releases a claim; retries until the release is confirmed. */
  release(options: LedgerKey & { claimId: string }): Promise<void>;
  fence(options: LedgerKey): Promise<FenceOutcome>;
  /** Latest ledger index that this node knows. */
  readonly knownIndex: number;
}

/** Ledger of a node that is not connected to control; grants no claims. */
export const unavailableLedger: LedgerPort = {
  claim: () => Promise.resolve({ kind: "unavailable" }),
  complete: () => Promise.resolve(),
  release: () => Promise.resolve(),
  fence: () => Promise.resolve({ kind: "unavailable" }),
  knownIndex: 0,
};
