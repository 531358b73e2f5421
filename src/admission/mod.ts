export { AdmissionController } from "./admission_controller.ts";
export type {
  AdmissionDecision,
  AdmissionEvent,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionStatus,
  FinishSample,
} from "./admission_types.ts";
export { bucketCount, getImportance } from "./importance.ts";
export { LevelTable, type LevelTableOptions } from "./level_table.ts";
