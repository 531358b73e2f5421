/** What a request at a node waits for. */
export type CallPhase =
  /** The rest of the request. */
  | "receiving"
  /** A retry. */
  | "waiting"
  /** The fence of its key by the ledger. */
  | "fencing"
  /** A slot of the local target. */
  | "queued"
  /** The grant of its key by the ledger. */
  | "claiming"
  /** A connection to the node of the chosen target. */
  | "connecting"
  /** The answer of the node of the chosen target. */
  | "at-node"
  /** The answer of the local target. */
  | "at-target"
  /** The end of an earlier response on its connection. */
  | "answered"
  /** The caller, which receives the response. */
  | "delivering"
  /** A response of the node itself, which is not a call. */
  | "handling"
  | "ended";

/** A call for which a response is open. */
export interface OpenCall {
  readonly requestId: string;
  readonly phase: CallPhase;
  /** Target of the current attempt; `undefined` when there is none. */
  readonly targetId: string | undefined;
  /** Whether the request may have been sent to a target or to its node. */
  readonly isPassedOn: boolean;
}
