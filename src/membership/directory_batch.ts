import type { NodeRecord } from "./node_record.ts";
import type { KnownTarget } from "./target_record.ts";

/** Targets and nodes that one message carries. */
export interface DirectoryItems {
  readonly targets: readonly KnownTarget[];
  readonly nodes: readonly NodeRecord[];
}

/**
 * Identifies a bucket of an owner's items. An owner is one process of a control
 * instance, named `instance#boot`; its items are hashed into buckets by key.
 */
export interface BucketKey {
  readonly owner: string;
  readonly index: number;
}

/** All that the sender has in one bucket of an owner's items. */
export interface Bucket extends BucketKey, DirectoryItems {
  /** Batch counter of the owner up to which the sender has its items. */
  readonly counter: number;
}

/** Digests of an owner's live items. */
export interface OwnerDigest {
  readonly owner: string;
  readonly counter: number;
  readonly buckets: readonly number[];
}

/** A message from one control instance to another. */
export interface DirectoryBatch extends DirectoryItems {
  readonly instanceId: string;
  /** Start of the sender's process; larger is newer. */
  readonly boot: number;
  /** Grows with each batch of that process. */
  readonly counter: number;
  /** Whether the sender does not know all targets yet. */
  readonly collecting: boolean;
  readonly buckets: readonly Bucket[];
  /** Sent periodically; empty in the batches in between. */
  readonly digests: readonly OwnerDigest[];
}
