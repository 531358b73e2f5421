import type { Result } from "../common/mod.ts";

/** A committed command. */
export interface LogEntry {
  readonly index: number;
  /** Time from the leader's clock; never before that of an earlier entry. */
  readonly time: Date;
  readonly command: Uint8Array;
}

/** What the replicated log drives. */
export interface StateMachine {
  /** Applies one committed command; deterministic; returns the result. */
  apply(entry: LogEntry): Uint8Array;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(bytes: Uint8Array): void;
  getDigest(): string;
}

/** Why a command was not applied, or is not known to be. */
export type ProposeError =
  | { readonly kind: "not-leader"; readonly leaderAddress?: string }
  | { readonly kind: "isolated" }
  | { readonly kind: "outcome-unknown" }
  | { readonly kind: "storage-failed"; readonly message: string };

/** State of the log on this instance. */
export interface ConsensusStatus {
  readonly role: string;
  readonly term: number;
  readonly leaderAddress?: string | undefined;
  readonly isolated: boolean;
  readonly members: readonly Member[];
  readonly appliedIndex: number;
}

/** A member of the group. */
export interface Member {
  /** Identity of its data folder. */
  readonly id: string;
  readonly address: string;
  readonly isVoter: boolean;
}

/** A change of the members, one at a time. */
export type MemberChange =
  | { readonly kind: "add"; readonly address: string; readonly id?: string }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string }
  /** Adds, promotes, then removes the old member, one change at a time. */
  | {
    readonly kind: "replace";
    readonly oldId: string;
    readonly address: string;
    readonly id?: string;
  };

/** The replicated log as the control process uses it. */
export interface ReplicatedLog {
  /** Resolves with the result of `apply` once committed and applied here. */
  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>>;
  /** Resolves when the local state includes all that was committed before. */
  confirmRead(): Promise<Result<{ index: number }, ProposeError>>;
  getStatus(): ConsensusStatus;
  changeMembers(change: MemberChange): Promise<Result<void, ProposeError>>;
  stop(): Promise<void>;
}
