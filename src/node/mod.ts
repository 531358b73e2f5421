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
