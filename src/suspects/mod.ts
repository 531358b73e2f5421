export {
  type CrashReport,
  SuspectList,
  type SuspectListOptions,
  type SuspectUpdate,
} from "./suspect_list.ts";
export {
  CrashCorrelator,
  type CrashCorrelatorOptions,
  type CrashDecision,
  type ReceivedCrashReport,
} from "./crash_correlator.ts";
