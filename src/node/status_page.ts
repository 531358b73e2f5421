import type { NodeState } from "./node_state.ts";
import type { OriginDispatcher } from "./origin_dispatcher.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/** Status of the session with control. */
export interface ControlStatus {
  readonly connected: boolean;
  readonly controlAddress?: string | undefined;
  /** Why sessions end again and again; absent while they do not. */
  readonly fault?: string | undefined;
}

/** Bounds the size of the page. */
const maximumLimitedTenants = 200;

/** Components whose status the status page shows. */
export interface StatusSource {
  readonly state: NodeState;
  readonly targetDispatcher: TargetDispatcher;
  readonly originDispatcher: OriginDispatcher;
  getControlStatus(): ControlStatus | undefined;
}

/**
 * Creates the document of `GET /dogwoodwalk/status`.
 * @param source Components of the node.
 * @returns The document, to be encoded as JSON.
 */
export function createStatusDocument(
  source: StatusSource,
): Record<string, unknown> {
  const { state, targetDispatcher, originDispatcher } = source;
  const { settings, view, router } = state;
  const { target } = targetDispatcher;
  return {
    nodeId: settings.nodeId,
    environment: settings.environment,
    service: settings.service,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    revision: view?.revision ?? 0,
    control: source.getControlStatus(),
    stopping: state.isStopping,
    target: {
      state: target.state,
      address: target.announcement &&
        `${target.announcement.endpoint.host}:${target.announcement.endpoint.port}`,
      incarnation: target.announcement?.incarnation,
    },
    admission: targetDispatcher.getStatus(),
    levels: state.levels.getEntries(),
    services: [...view?.document.services.keys() ?? []].map((service) => ({
      service,
      ...router.getStatus(service),
    })),
    calls: {
      origin: originDispatcher.callCount,
      target: targetDispatcher.callCount,
    },
    heldBodyBytes: state.bodyMemory.usedBytes,
    limitedTenants: getLimitedTenants(state),
    ledgerIndex: state.ledger.knownIndex,
    counters: state.counters.getStatus(),
  };
}

/** Gets the tenants that exceed their quota, the most refused ones first. */
function getLimitedTenants(
  { quotas, clock }: NodeState,
): Record<string, unknown>[] {
  const now = clock.now().getTime() - clock.monotonicMilliseconds();
  return quotas.getLimited()
    .toSorted((a, b) => b.refused - a.refused)
    .slice(0, maximumLimitedTenants)
    .map(({ tenant, quota, since, until, refused }) => ({
      tenant,
      rule: "quota",
      requestsPerSecond: quota.requestsPerSecond,
      burst: quota.burst,
      since: new Date(now + since).toISOString(),
      until: new Date(now + until).toISOString(),
      refused,
    }));
}
