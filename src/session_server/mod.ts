export type {
  AcceptedDocument,
  Availability,
  ControlState,
  PeerInstance,
} from "./control_state.ts";
export {
  type DrainOutcome,
  type LiveNode,
  SessionHost,
  type SessionHostOptions,
} from "./session_host.ts";
export { createWireBatch, parseWireBatch } from "./instance_exchange.ts";
