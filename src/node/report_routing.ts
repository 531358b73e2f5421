import type { Metrics } from "../common/mod.ts";
import type { NodeState } from "./node_state.ts";

/**
 * Reports what the node knows of the targets of each service, as gauges by
 * service and distance. Services without calls are left out.
 * @param state State that the components of the node share.
 * @param metrics Receiver of the gauges.
 */
export function reportRouting(
  { view, router }: Pick<NodeState, "view" | "router">,
  metrics: Metrics,
): void {
  for (const service of view?.document.services.keys() ?? []) {
    const { calls, meanServiceMilliseconds } = router.getStatus(service);
    for (const [distance, count] of Object.entries(calls)) {
      if (count > 0) {
        metrics.gauge("routing.attempts", count, { service, distance });
      }
    }
    if (meanServiceMilliseconds !== undefined) {
      metrics.gauge(
        "routing.service_time_milliseconds",
        meanServiceMilliseconds,
        {
          service,
        },
      );
    }
  }
}
