export { type Clock, systemClock } from "./clock.ts";
export { ManualClock } from "./manual_clock.ts";
export { createSeededRandom, type RandomSource } from "./random_source.ts";
export { handleUnexpectedErrors } from "./handle_unexpected_errors.ts";
export {
  stopOnSignal,
  type StopOnSignalOptions,
  type Stoppable,
} from "./stop_on_signal.ts";
export { type Finding, formatFinding } from "./finding.ts";
export { failed, ok, type Result } from "./result.ts";
export { StopPhases } from "./stop_phases.ts";
export { BytesHasher, getBytesHash, getStableHash } from "./stable_hash.ts";
export {
  createMetrics,
  disabledMetrics,
  type Metrics,
  type MetricsOptions,
  type MetricTags,
} from "./metrics.ts";
export {
  createLog,
  formatKeyValues,
  type Log,
  type LogFields,
  type LogOptions,
} from "./log.ts";
export { createLogOutput, type LogOutput } from "./log_output.ts";
export {
  createPrometheusMetrics,
  type PrometheusMetrics,
} from "./prometheus_metrics.ts";
