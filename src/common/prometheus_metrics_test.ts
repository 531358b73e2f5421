import assert from "node:assert/strict";
import { test } from "node:test";
import { createPrometheusMetrics } from "./prometheus_metrics.ts";

test("counters, gauges and histograms are exposed in the Prometheus format", async () => {
  const metrics = createPrometheusMetrics();
  metrics.increment("calls.refused", { reason: "queue-full" }, 2);
  metrics.increment("calls.refused", { reason: "queue-full" });
  metrics.gauge("control.leader", 1, {});
  metrics.observe("calls.duration_ms", 15, { service: "portal" });
  const text = await metrics.getText();
  assert.match(text, /dogwoodwalk_calls_refused\{reason="queue-full"\} 3/);
  assert.match(text, /dogwoodwalk_control_leader 1/);
  assert.match(text, /duration_ms_bucket\{le="20",service="portal"\} 1/);
  assert.match(text, /duration_ms_bucket\{le="10",service="portal"\} 0/);
});
