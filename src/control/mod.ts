export {
  type AddSessionServices,
  type ControlOptions,
  createInterceptors,
  type OpenLog,
  type RunningControl,
  startControl,
} from "./control_process.ts";
export { ControlStateMachine, formatVersion } from "./control_state_machine.ts";
export {
  type DrainOutcome,
  type FleetView,
  type LiveNode,
} from "./fleet_view.ts";
export { type AcceptedDocument, type SessionHost } from "./session_host.ts";
export { type ControlRefusalReason, createRefusal } from "./refusal.ts";
export { SingleInstanceLog } from "./single_instance_log.ts";
