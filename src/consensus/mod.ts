export { createReplicatedLog } from "./replicated_log.ts";
export type {
  ConsensusStatus,
  ProposeError,
  ReplicatedLog,
  ReplicatedLogOptions,
} from "./replicated_log_types.ts";
export type { StateMachine } from "./state_machine.ts";
export type { Member, MemberChange } from "./member.ts";
export { StorageError, type StorageErrorKind } from "./storage_error.ts";
export {
  type ConsensusTiming,
  defaultTiming,
  type Role,
} from "./core_types.ts";
