/** What the origin's node sends to the target's node about a call. */
export interface RequestContext {
  /** Identity of the whole request, assigned at its entry node. */
  readonly requestId: string;
  /** Who sent the request, for fairness between callers; empty when unknown. */
  readonly caller: string;
  /** Index into the classes of the document; 0 is the most important. */
  readonly classIndex: number;
  /** Time left for the call, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Attempts that the nested calls of this one may make in total. */
  readonly allowance: number;
  /** Length of the call chain so far; 1 for the call of the entry node. */
  readonly depth: number;
  /** Ledger index that the origin's node knew when it sent the call. */
  readonly entryIndex: number;
  /**
   * Service that must run the call. The receiver checks it, because the address
   * may belong to a target of another service by now.
   */
  readonly service: string;
  /** Stable hash of the identity of the whole request. */
  readonly hash: number;
}
