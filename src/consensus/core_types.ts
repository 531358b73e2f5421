import type { RandomSource } from "../common/mod.ts";
import type { LogEntry, SnapshotInfo } from "./log_entry.ts";

/** Time settings of the protocol. */
export interface ConsensusTiming {
  readonly heartbeatMilliseconds: number;
  /** Election timeouts are random between this value and twice this value. */
  readonly electionMilliseconds: number;
  /** Time without contact with a majority that makes an instance isolated. */
  readonly isolationMilliseconds: number;
  /**
   * Time for which an instance, while it has contact with the leader, may lack
   * entries that are committed before its state counts as outdated.
   */
  readonly outdatedMilliseconds: number;
  /**
   * Time that a started instance waits for confirmations of all voters before a
   * majority of them is enough.
   */
  readonly confirmationMilliseconds: number;
}

/** The settings used in production. */
export const defaultTiming: ConsensusTiming = {
  heartbeatMilliseconds: 250,
  electionMilliseconds: 1000,
  isolationMilliseconds: 1500,
  outdatedMilliseconds: 750,
  confirmationMilliseconds: 1000,
};

/** The times of both clocks, passed to the core before each input. */
export interface CoreTime {
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
}

/** Settings of the consensus core. */
export interface CoreOptions {
  readonly address: string;
  /**
   * Addresses that form a new group, with all other instances that send a hello
   * to them; the first one creates it.
   */
  readonly initialMembers: readonly string[];
  /**
   * Number of disks that may be lost at once; 0 by default. A new group waits
   * until it has so many members that a majority remains.
   */
  readonly toleratedLosses?: number;
  readonly random: RandomSource;
  readonly time: CoreTime;
  readonly timing?: ConsensusTiming;
}

/** Role of an instance in its group. */
export type Role =
  /** Does not belong to a group yet. */
  | "unformed"
  /** Its start is not confirmed by enough voters yet. */
  | "recovering"
  /** A voter denied its start because of an older disk; must be replaced. */
  | "denied"
  | "non-voter"
  | "follower"
  | "candidate"
  | "leader";

/** Events of the core, which its owner handles in order. */
export type CoreEvent =
  | { readonly kind: "committed"; readonly entries: readonly LogEntry[] }
  /** The state machine must be restored from a snapshot that is now durable. */
  | {
    readonly kind: "restore";
    readonly info: SnapshotInfo;
    readonly data: Uint8Array;
  }
  /** A read is confirmed and may be served once `index` is applied. */
  | { readonly kind: "read"; readonly token: number; readonly index: number }
  | { readonly kind: "readFailed"; readonly token: number }
  | { readonly kind: "leadershipLost" }
  /** A change of state to be logged. */
  | {
    readonly kind: "notice";
    readonly text: string;
    readonly detail: string;
  };

/** Reason why the core refuses a proposal. */
export type CoreRefusal =
  | { readonly kind: "not-leader" }
  | { readonly kind: "member-change-refused"; readonly message: string };

/** Result of a proposal to the core. */
export type ProposalResult =
  | { readonly kind: "appended"; readonly index: number; readonly term: number }
  /** The group is new, and too few of its voters hold the log yet. */
  | { readonly kind: "forming" }
  | CoreRefusal;

/** A change of members that the core appends as a single entry. */
export type SingleMemberChange =
  | { readonly kind: "add"; readonly id: string; readonly address: string }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string };
