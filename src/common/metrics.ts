import { StatsD } from "hot-shots";

/** Tags of a metric, such as `{ service: "treasury" }`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and histograms. */
export interface Metrics {
  /** Adds to a counter. */
  increment(name: string, tags: MetricTags, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void;
  /** Adds a duration to a histogram. */
  observe(name: string, milliseconds: number, tags: MetricTags): void;
  /** Releases the socket. */
  close(): void;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** Address of the statsd server; without it, no metrics are sent. */
  readonly address?: string | undefined;
  /** UDP port of the statsd server. */
  readonly port?: number | undefined;
}

/** Metrics that discard all values. */
export const disabledMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  observe: () => {},
  close: () => {},
};

/**
 * Creates metrics that are sent to a statsd server over UDP. Lost packets and
 * an unreachable server have no effect on the process.
 * @param options Address of the server.
 * @returns The metrics.
 */
export function createMetrics(options: MetricsOptions): Metrics {
  if (options.address === undefined) {
    return disabledMetrics;
  }
  const client = new StatsD({
    host: options.address,
    port: options.port ?? 8125,
    prefix: "dogwoodwalk.",
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
    errorHandler: () => {},
  });
  return {
    increment: (name, tags, by = 1) => client.increment(name, by, { ...tags }),
    gauge: (name, value, tags) => client.gauge(name, value, { ...tags }),
    observe: (name, milliseconds, tags) =>
      client.histogram(name, milliseconds, { ...tags }),
    close: () => client.close(() => {}),
  };
}
