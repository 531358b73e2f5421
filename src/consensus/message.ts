import type { LogEntry, SnapshotInfo } from "./log_entry.ts";

/** Whether a voter agrees that a started instance lost nothing. */
export type Verdict = "confirmed" | "denied";

/** What instances tell each other; the term is on the envelope. */
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
    /** Number of the latest read round; echoed by the response. */
    readonly round: number;
    /** Time since the leader last heard a majority. */
    readonly majorityAgeMilliseconds: number;
  }
  | {
    readonly kind: "appendResponse";
    readonly isSuccess: boolean;
    /** Last index equal to the leader's, or the index to try next. */
    readonly index: number;
    readonly round: number;
    /** False while the responder is recovering or denied. */
    readonly canVote: boolean;
  }
  | {
    readonly kind: "snapshotChunk";
    readonly info: SnapshotInfo;
    readonly offset: number;
    /** Filled in by the sender from its snapshot file. */
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

/** A message with its sender and receiver. */
export interface Envelope {
  /** Empty while the sender has no group. */
  readonly groupId: string;
  readonly fromId: string;
  readonly fromAddress: string;
  /** Random number of the sender's start. */
  readonly fromBootId: string;
  /** Empty when only the address is known. */
  readonly toId: string;
  readonly toAddress: string;
  readonly term: number;
  readonly message: ConsensusMessage;
}
