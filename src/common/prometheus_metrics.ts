import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics, MetricTags } from "./metrics.ts";

/** Bounds of the buckets of histograms, in milliseconds. */
const bucketMilliseconds = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1000,
  2000,
  5000,
  10_000,
];

/** Metrics that a reader fetches as text. */
export interface PrometheusMetrics extends Metrics {
  /** Gets all metrics in the Prometheus text format. */
  getText(): Promise<string>;
  readonly contentType: string;
}

/**
 * Creates metrics that are kept until they are fetched. The tags of a metric
 * must be the same at each use.
 * @returns The metrics.
 */
export function createPrometheusMetrics(): PrometheusMetrics {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  return {
    increment: (name, tags, by = 1) => {
      const create = () => new Counter(describe(name, tags, registry));
      getOrCreate(counters, name, create).inc({ ...tags }, by);
    },
    gauge: (name, value, tags) => {
      const create = () => new Gauge(describe(name, tags, registry));
      getOrCreate(gauges, name, create).set({ ...tags }, value);
    },
    observe: (name, milliseconds, tags) => {
      const create = () =>
        new Histogram({
          ...describe(name, tags, registry),
          buckets: bucketMilliseconds,
        });
      getOrCreate(histograms, name, create).observe({ ...tags }, milliseconds);
    },
    close: () => {},
    getText: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

function describe(name: string, tags: MetricTags, registry: Registry) {
  return {
    name: `dogwoodwalk_${name.replaceAll(".", "_")}`,
    help: name,
    labelNames: Object.keys(tags),
    registers: [registry],
  };
}

function getOrCreate<Metric>(
  known: Map<string, Metric>,
  name: string,
  create: () => Metric,
): Metric {
  let metric = known.get(name);
  if (metric === undefined) {
    metric = create();
    known.set(name, metric);
  }
  return metric;
}
