export { PeerCredential } from "./peer_credential.ts";
export {
  type NodeEvents,
  NodeProcess,
  type NodeProcessOptions,
  type StopResult,
} from "./node_process.ts";
export type {
  ClaimDenial,
  ClaimOptions,
  ClaimOutcome,
  FenceOutcome,
  LedgerAnswer,
  LedgerKey,
  LedgerPort,
} from "./ledger_port.ts";
export { ControlLink, type ControlLinkOptions } from "./control_link.ts";
export type { SessionTiming } from "../control_client/mod.ts";
export type {
  AcceptedCall,
  CallProtocol,
  DispatchedCall,
  ReceivedRequest,
  RefusedCall,
  ResponseClassification,
  UnacceptedRequest,
} from "./call_protocol.ts";
export type { TargetCall } from "./target_call.ts";
export type { CallDetails } from "./call_details.ts";
export type { ResponseHead } from "./exchange.ts";
export { identifyKeyHolder, type KeyHolder } from "./identify_key_holder.ts";
export { removeHeaders } from "./remove_headers.ts";
export { hasUnreadBody } from "./has_unread_body.ts";
export { HttpListener, type HttpListenerOptions } from "./http_listener.ts";
export { createListenerReports } from "./listener_reports.ts";
export {
  AnnouncedTarget,
  type TargetAnnouncement,
} from "./announced_target.ts";
export { DecisionLog } from "./decision_log.ts";
export { type Holder, selectWorst } from "./select_worst.ts";
