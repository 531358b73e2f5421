export {
  defaultQuotaTerms,
  getAllowance,
  getQuotaLimits,
  type QuotaLimits,
  type QuotaTerms,
} from "./quota_limits.ts";
export { FleetShare, type NodePlace } from "./fleet_share.ts";
export { type AddressedGrant, PermitBuckets } from "./permit_buckets.ts";
export {
  maximumPermitWaitMilliseconds,
  type PermitDeficit,
  type PermitGrant,
  type PermitRequest,
  type PermitWant,
} from "./permit_messages.ts";
export {
  type LimitedTenant,
  type NodeQuotaEvents,
  NodeQuotas,
  type Permits,
  type QuotaDecision,
  type QuotaRefusal,
} from "./node_quotas.ts";
export {
  PermitTransfers,
  type TransferCounts,
  type TransferRequest,
} from "./permit_transfers.ts";
