export {
  changeIdLimit,
  DocumentHistory,
  type EntryTime,
  retainedDocumentLimit,
  revisionLimit,
} from "./document_history.ts";
export { quarantineLimit, QuarantineList } from "./quarantine_list.ts";
export {
  type Environment,
  environments,
  isEnvironment,
} from "./environments.ts";
export { getChangedLines } from "./line_diff.ts";
