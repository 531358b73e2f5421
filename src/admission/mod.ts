export { AdmissionController } from "./admission_controller.ts";
export type {
  AdmissionDecision,
  AdmissionEvent,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionStatus,
  CallOutcome,
} from "./admission_types.ts";
export { bucketsPerClass, getPriority } from "./priority.ts";
export { LevelTable, type LevelTableOptions } from "./level_table.ts";
