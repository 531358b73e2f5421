/** What a node tells the target's node about a call. */
export interface RequestContext {
  /** Identity of the whole request, given where it entered. */
  readonly requestId: string;
  /** Who sent the request, for fairness; empty when not known. */
  readonly caller: string;
  /** Index into the classes of the document; 0 is the most important. */
  readonly classIndex: number;
  /** Time left for the call, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Attempts that the calls below this one may make. */
  readonly allowance: number;
  /** Calls on the chain so far; 1 for the call that entered. */
  readonly depth: number;
  /** Ledger index that was known where the call was sent. */
  readonly entryIndex: number;
  /** Service that must run the call; its address may have a new owner. */
  readonly service: string;
  /** Stable hash of the identity of the whole request. */
  readonly hash: number;
}
