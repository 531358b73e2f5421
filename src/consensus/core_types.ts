import type { RandomSource } from "../common/mod.ts";
import type { LogEntry, SnapshotInfo } from "./log_entry.ts";

/** Times and sizes of the protocol. */
export interface ConsensusTiming {
  readonly heartbeatMilliseconds: number;
  /** Elections start after a random time from this to its double. */
  readonly electionMilliseconds: number;
  /** Silence after which an instance reports itself isolated. */
  readonly isolationMilliseconds: number;
  /** How long a started instance waits for the voters that are silent. */
  readonly confirmationMilliseconds: number;
}

/** The times of the design page. */
export const defaultTiming: ConsensusTiming = {
  heartbeatMilliseconds: 250,
  electionMilliseconds: 1000,
  isolationMilliseconds: 1500,
  confirmationMilliseconds: 1000,
};

/** The time at an input of the core. */
export interface CoreTime {
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
}

/** Settings of the core. */
export interface CoreOptions {
  readonly address: string;
  /** Addresses that form a new group; the first one founds it. */
  readonly initialMembers: readonly string[];
  readonly random: RandomSource;
  readonly time: CoreTime;
  readonly timing?: ConsensusTiming;
}

/** Part that an instance plays. */
export type Role =
  /** Has no group yet. */
  | "unformed"
  /** Started and not yet confirmed by the voters. */
  | "recovering"
  /** Found behind its own past; has to be replaced. */
  | "denied"
  | "non-voter"
  | "follower"
  | "candidate"
  | "leader";

/** What the owner of the core has to act on, in order. */
export type CoreEvent =
  | { readonly kind: "committed"; readonly entries: readonly LogEntry[] }
  /** The state machine must be replaced; the snapshot is durable. */
  | {
    readonly kind: "restore";
    readonly info: SnapshotInfo;
    readonly data: Uint8Array;
  }
  | { readonly kind: "read"; readonly token: number; readonly index: number }
  | { readonly kind: "readFailed"; readonly token: number }
  | { readonly kind: "leadershipLost" }
  | {
    readonly kind: "notice";
    readonly text: string;
    readonly detail: string;
  };

/** Why the core refused a proposal. */
export type CoreRefusal =
  | { readonly kind: "not-leader" }
  | { readonly kind: "member-change-refused"; readonly message: string };

/** A change of the members that the core can append as one entry. */
export type SingleMemberChange =
  | { readonly kind: "add"; readonly id: string; readonly address: string }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string };
