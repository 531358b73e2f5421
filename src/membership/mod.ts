export {
  compareTargets,
  compareText,
  isLiveTarget,
  type KnownTarget,
  parseTargetRecord,
  type TargetFacts,
  type TargetRecord,
  type TargetState,
  toKnownTarget,
  toTargetRecord,
} from "./target_record.ts";
export { getNodeKey, type NodeRecord } from "./node_record.ts";
export { Directory, type DirectoryOptions } from "./directory.ts";
export type {
  Bucket,
  BucketName,
  DirectoryBatch,
  DirectoryItems,
  OwnerDigest,
} from "./directory_batch.ts";
export { getServiceKey, type ServiceName } from "./service_name.ts";
export {
  type Caller,
  maximumSubsetSize,
  type Place,
  SubsetRing,
} from "./subset_ring.ts";
export {
  getViewDelta,
  getViewDigest,
  ViewCopy,
  type ViewDelta,
} from "./view.ts";
export { type ViewedNode, ViewPlanner } from "./view_planner.ts";
export {
  getLinkKey,
  type LinkDemandEntry,
  type LinkDemandNews,
  LinkRounds,
} from "./link_rounds.ts";
export {
  type BudgetedLink,
  type LinkBytes,
  type LinkShare,
  LinkShareBook,
} from "./link_share_book.ts";
