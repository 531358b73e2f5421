export type {
  CallerLimits,
  DeclaredCall,
  EnvironmentDocument,
  KeyRequirement,
  LedgerSettings,
  Link,
  Objective,
  Placement,
  Quota,
  Route,
  Service,
  ShedSignal,
  Tenant,
  WeightedService,
} from "./environment_document.ts";
export { defaultLedgerSettings, parseDocument } from "./parse_document.ts";
export { CallGraph } from "./call_graph.ts";
export { getKeyDigest } from "./key_digest.ts";
export { getTenantQuotas } from "./tenant_quotas.ts";
export { TenantTable } from "./tenant_table.ts";
export { getHostName } from "./host_name.ts";
export { getRouteServices } from "./route_services.ts";
export { RouteTable } from "./route_table.ts";
export {
  decodeDocumentPart,
  encodeDocumentPart,
  getDocumentPart,
} from "./document_part.ts";
export { getDocumentDigest } from "./document_digest.ts";
export { type DocumentSize, getDocumentSize } from "./document_size.ts";
