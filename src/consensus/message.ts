import type { LogEntry, SnapshotInfo } from "./log_entry.ts";

/**
 * Whether a voter confirms the start of an instance, or denies it because of an
 * older disk.
 */
export type Verdict = "confirmed" | "denied";

/**
 * A lower bound of the time at which a message was sent, on the monotonic clock of
 * its recipient.
 */
export interface RecipientTime {
  /** Start of the recipient that the clock belongs to; empty while unknown. */
  readonly bootId: string;
  readonly milliseconds: number;
}

/** A message between instances. Its term is in the envelope. */
export type ConsensusMessage =
  | { readonly kind: "hello" }
  | {
    readonly kind: "helloResponse";
    readonly isDenied: boolean;
    readonly firstEntry?: LogEntry | undefined;
  }
  | {
    readonly kind: "confirmRequest";
    readonly bootCount: number;
    readonly startTerm: number;
    readonly startLastIndex: number;
    /** Term of the entry at `startLastIndex`. */
    readonly startLastTerm: number;
  }
  | {
    readonly kind: "confirmResponse";
    readonly bootId: string;
    readonly verdict: Verdict;
    readonly reason: string;
  }
  | {
    readonly kind: "preVoteRequest" | "voteRequest";
    readonly lastIndex: number;
    readonly lastTerm: number;
  }
  | {
    readonly kind: "preVoteResponse" | "voteResponse";
    readonly isGranted: boolean;
  }
  | {
    readonly kind: "append";
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
    /** Number of the latest read round, which the response echoes. */
    readonly round: number;
    /** Time since the leader last had contact with a majority. */
    readonly majorityAgeMilliseconds: number;
    /** Unset in messages of releases that do not record when they are sent. */
    readonly sentAfter?: RecipientTime | undefined;
  }
  | {
    readonly kind: "appendResponse";
    readonly isSuccess: boolean;
    /** Last index that matches, or on failure the last one that may match. */
    readonly index: number;
    readonly round: number;
    /**
     * Whether the sender counts for majorities: its own start is confirmed, and
     * it has confirmed the start of the leader.
     */
    readonly canVote: boolean;
    /** Monotonic time of the sender; set when the message is taken. */
    readonly sentAtMilliseconds?: number;
  }
  | {
    readonly kind: "snapshotChunk";
    readonly info: SnapshotInfo;
    readonly offset: number;
    /** Added from the stored snapshot when the message is sent. */
    readonly data: Uint8Array;
    readonly isLast: boolean;
  }
  | {
    readonly kind: "snapshotResponse";
    readonly index: number;
    readonly nextOffset: number;
    readonly isInstalled: boolean;
    readonly canVote: boolean;
  }
  | { readonly kind: "readRequest"; readonly token: number }
  | {
    readonly kind: "readResponse";
    readonly token: number;
    readonly isConfirmed: boolean;
    readonly index: number;
  };

/** A message with its sender, recipient and term. */
export interface Envelope {
  /** Empty while the sender has no group. */
  readonly groupId: string;
  readonly fromId: string;
  readonly fromAddress: string;
  /** Random identifier of the sender's current start. */
  readonly fromBootId: string;
  /** Empty when only the address of the recipient is known. */
  readonly toId: string;
  readonly toAddress: string;
  readonly term: number;
  readonly message: ConsensusMessage;
}
