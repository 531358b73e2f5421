import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics, MetricTags } from "./metrics.ts";

/** Upper bounds of the histogram buckets. */
const bucketBoundsMilliseconds = [
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

/** Metrics that are kept in memory until a Prometheus server scrapes them. */
export interface PrometheusMetrics extends Metrics {
  /** Gets all metrics in the Prometheus text format. */
  getText(): Promise<string>;
  readonly contentType: string;
}

/**
 * Creates metrics in the Prometheus format. All uses of a metric must have the
 * same tag names.
 * @returns The metrics.
 */
export function createPrometheusMetrics(): PrometheusMetrics {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  return {
    increment: (name, tags, by = 1) => {
      const create = () =>
        new Counter(getMetricConfiguration(name, tags, registry));
      getOrCreate(counters, name, create).inc({ ...tags }, by);
    },
    gauge: (name, value, tags) => {
      const create = () =>
        new Gauge(getMetricConfiguration(name, tags, registry));
      getOrCreate(gauges, name, create).set({ ...tags }, value);
    },
    observe: (name, milliseconds, tags) => {
      const create = () =>
        new Histogram({
          ...getMetricConfiguration(name, tags, registry),
          buckets: bucketBoundsMilliseconds,
        });
      getOrCreate(histograms, name, create).observe({ ...tags }, milliseconds);
    },
    close: () => {},
    getText: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

function getMetricConfiguration(
  name: string,
  tags: MetricTags,
  registry: Registry,
) {
  return {
    name: `dogwoodwalk_${name.replaceAll(".", "_")}`,
    help: name,
    labelNames: Object.keys(tags),
    registers: [registry],
  };
}

function getOrCreate<Metric>(
  metricsByName: Map<string, Metric>,
  name: string,
  create: () => Metric,
): Metric {
  let metric = metricsByName.get(name);
  if (metric === undefined) {
    metric = create();
    metricsByName.set(name, metric);
  }
  return metric;
}
