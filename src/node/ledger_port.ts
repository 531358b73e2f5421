import type { RefusalReason } from "../request/mod.ts";

/** A response that the ledger holds for a key. */
export interface LedgerAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** A key within the environment of this node. */
export interface LedgerKey {
  readonly service: string;
  readonly key: string;
}

/** What a node asks for before it runs a call with a key. */
export interface ClaimOptions extends LedgerKey {
  /** Unique per attempt. */
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

/** What the ledger says to a claim. */
export type ClaimOutcome =
  | { readonly kind: "granted" }
  | {
    readonly kind: "denied";
    readonly reason: ClaimDenial;
    readonly answer?: LedgerAnswer | undefined;
  }
  /** Not granted; what was recorded nevertheless is released by the ledger. */
  | { readonly kind: "unavailable" };

/** What the ledger says about a fenced key. */
export type FenceOutcome =
  | { readonly kind: "absent" }
  | { readonly kind: "in-progress" }
  | { readonly kind: "ran"; readonly answer?: LedgerAnswer | undefined }
  | { readonly kind: "unknown" }
  | { readonly kind: "unavailable" };

/** The ledger as the request path uses it. No promise is ever rejected. */
export interface LedgerPort {
  claim(options: ClaimOptions): Promise<ClaimOutcome>;
  /** Resolves when the completion is recorded or was given up. */
  complete(
    options: LedgerKey & { claimId: string; answer?: LedgerAnswer | undefined },
  ): Promise<void>;
  /** Resolves when the release is confirmed; it is retried until then. */
  release(options: LedgerKey & { claimId: string }): Promise<void>;
  fence(options: LedgerKey): Promise<FenceOutcome>;
  /** Newest ledger index that this node knows. */
  readonly knownIndex: number;
}

/** The ledger of a node without control instances. */
export const unavailableLedger: LedgerPort = {
  claim: () => Promise.resolve({ kind: "unavailable" }),
  complete: () => Promise.resolve(),
  release: () => Promise.resolve(),
  fence: () => Promise.resolve({ kind: "unavailable" }),
  knownIndex: 0,
};
