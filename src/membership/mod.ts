export {
  compareTargets,
  compareText,
  isDrained,
  isForgottenDrain,
  isLiveTarget,
  type KnownTarget,
  parseTargetRecord,
  type TargetAttributes,
  type TargetRecord,
  type TargetState,
  toKnownTarget,
  toTargetRecord,
} from "./target_record.ts";
export { getNodeKey, type NodeRecord } from "./node_record.ts";
export { Directory, type DirectoryOptions } from "./directory.ts";
export type {
  Bucket,
  BucketKey,
  DirectoryBatch,
  DirectoryItems,
  OwnerDigest,
} from "./directory_batch.ts";
export { getServiceKey, type ServiceName } from "./service_name.ts";
export {
  type CallingNode,
  type Locality,
  maximumSubsetSize,
  SubsetRing,
} from "./subset_ring.ts";
export {
  getViewDelta,
  getViewDigest,
  ViewCopy,
  type ViewDelta,
} from "./view.ts";
export { ViewPlanner, type ViewRecipient } from "./view_planner.ts";
export {
  getLinkKey,
  LinkBudgetRounds,
  type LinkDemandEntry,
  type LinkDemandReport,
} from "./link_budget_rounds.ts";
export {
  type BudgetedLink,
  type LinkBytes,
  type LinkShare,
  LinkShareAllocator,
} from "./link_share_allocator.ts";
