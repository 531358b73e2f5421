import type { NodeRecord } from "./node_record.ts";
import type { KnownTarget } from "./target_record.ts";

/** Targets and nodes that one message carries. */
export interface DirectoryItems {
  readonly targets: readonly KnownTarget[];
  readonly nodes: readonly NodeRecord[];
}

/** Names a part of an owner's items. */
export interface BucketKey {
  readonly owner: string;
  readonly index: number;
}

/** All that the sender has in one bucket of an owner's items. */
export interface Bucket extends BucketKey, DirectoryItems {
  /** Counter of the owner up to which the sender has its items. */
  readonly counter: number;
}

/** Digests of an owner's live items. */
export interface OwnerDigest {
  readonly owner: string;
  readonly counter: number;
  readonly buckets: readonly number[];
}

/** What one instance tells another. */
export interface DirectoryBatch extends DirectoryItems {
  readonly instanceId: string;
  /** Start of the sender's process; larger is newer. */
  readonly boot: number;
  /** Grows with each batch of that process. */
  readonly counter: number;
  /** Whether the sender does not know all targets yet. */
  readonly collecting: boolean;
  readonly buckets: readonly Bucket[];
  /** Empty in batches between the regular digests. */
  readonly digests: readonly OwnerDigest[];
}
