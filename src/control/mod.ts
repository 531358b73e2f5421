export {
  availabilityCheckIntervalMilliseconds,
  type ControlOptions,
  createInterceptors,
  type OpenLog,
  type RunningControl,
  shutdownTimeoutMilliseconds,
  startControl,
} from "./control_process.ts";
export { ControlStateMachine, formatVersion } from "./control_state_machine.ts";
export type { FleetView } from "./fleet_view.ts";
export { type ControlRefusalReason, createRefusal } from "./refusal.ts";
