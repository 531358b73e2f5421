import {
  CallGraph,
  type EnvironmentDocument,
  type Route,
  RouteTable,
  type Service,
  TenantTable,
} from "../document/mod.ts";
import type { RandomSource } from "../common/mod.ts";
import type { CallCounters, ClassCounters } from "./call_counters.ts";
import { SplitPlans } from "./split_plans.ts";

/** A route with the values derived from it, which are computed once. */
export interface RoutePlan {
  readonly route: Route;
  readonly service: Service;
  /** Attempts that a call and its outgoing calls take without retries. */
  readonly requiredAttempts: number;
  /** The route's service, then all services that its declared calls reach. */
  readonly declaredServices: readonly string[];
  /** Other services that calls of the route were observed to reach. */
  readonly discoveredServices: Set<string>;
  /** Counters by class index. */
  readonly counters: readonly ClassCounters[];
}

/** Settings of a {@link DocumentView}. */
export interface DocumentViewOptions {
  readonly revision: number;
  readonly counters: CallCounters;
  readonly random?: RandomSource;
  /** View of the former document; services discovered for its routes are kept. */
  readonly previous?: DocumentView | undefined;
}

/** The document in force at a node, with its derived values. */
export class DocumentView {
  readonly document: EnvironmentDocument;
  readonly revision: number;
  /** Tenants by their keys; absent when the document has no tenants. */
  readonly tenants: TenantTable | undefined;
  readonly #routes: RouteTable;
  readonly #graph: CallGraph;
  readonly #counters: CallCounters;
  readonly #plans = new Map<Route, RoutePlan>();
  readonly #splits: SplitPlans;
  readonly #fallbackRoutes = new Map<string, Route>();
  /** Services that calls of the routes were observed to reach, by route. */
  readonly #discoveredServices = new Map<string, Set<string>>();

  /**
   * @param document The document, or the part of it for this node.
   * @param options Revision of the document, and counters.
   */
  constructor(document: EnvironmentDocument, options: DocumentViewOptions) {
    this.document = document;
    this.revision = options.revision;
    this.tenants = document.tenants && new TenantTable(document.tenants);
    this.#counters = options.counters;
    this.#routes = new RouteTable(document);
    this.#graph = new CallGraph(document);
    this.#splits = new SplitPlans({
      random: options.random ?? Math.random,
      createPlan: (route) => this.#createPlan(route),
    });
    this.#keepDiscoveredServices(options.previous);
  }

  /** Reports whether routes match calls by their host. */
  get hasHostRoutes(): boolean {
    return this.#routes.hasHostRoutes;
  }

  /** Reports whether the document has a service. */
  hasService(service: string): boolean {
    return this.document.services.has(service);
  }

  /**
   * Gets the plan of the route that a call matches.
   * @param call Service, method in upper case, and path without its query.
   * @returns The plan, or `undefined` when no route matches.
   */
  getPlan(
    call: { service: string; method: string; path: string },
  ): RoutePlan | undefined {
    const route = this.#routes.getRoute(call);
    if (route === undefined) {
      return undefined;
    }
    return this.#plans.get(route) ?? this.#createPlan(route);
  }

  /**
   * Selects the plan of the route that a call to a host matches. The parts of a
   * route with a split are selected in rotation, so that the calls are divided
   * exactly by weight.
   * @param call Host in lower case, method in upper case, and path without its
   * query.
   * @returns The plan, or `undefined` when no route matches.
   */
  selectHostPlan(
    call: { host: string; method: string; path: string },
  ): RoutePlan | undefined {
    const route = this.#routes.getHostRoute(call);
    if (route === undefined) {
      return undefined;
    }
    return route.split === undefined
      ? this.#plans.get(route) ?? this.#createPlan(route)
      : this.#splits.next(route);
  }

  /**
   * Gets a plan for calls from another node whose route only that node knows.
   * @param service Service of the local target.
   */
  getFallbackPlan(service: string): RoutePlan | undefined {
    const route = this.#fallbackRoutes.get(service) ?? {
      ...fallbackRoute,
      service,
    };
    this.#fallbackRoutes.set(service, route);
    return this.#plans.get(route) ?? this.#createPlan(route);
  }

  /** Gets the name of a class, or its index when it has none. */
  getClassName(classIndex: number): string {
    return this.document.classes[classIndex] ?? String(classIndex);
  }

  #createPlan(route: Route): RoutePlan | undefined {
    const service = this.document.services.get(route.service);
    if (service === undefined) {
      return undefined;
    }
    const plan = {
      route,
      service,
      requiredAttempts: this.#graph.getRouteRequiredAttempts(route),
      declaredServices: [
        route.service,
        ...this.#graph.getReachableServices(route),
      ],
      discoveredServices: this.#getDiscoveredServices(route),
      counters: this.document.classes.map((name) =>
        this.#counters.get(route.service, name)
      ),
    };
    this.#plans.set(route, plan);
    return plan;
  }

  #getDiscoveredServices(route: Route): Set<string> {
    const key = getRouteKey(route);
    const known = this.#discoveredServices.get(key) ?? new Set<string>();
    this.#discoveredServices.set(key, known);
    return known;
  }

  /**
   * Keeps what was discovered for routes that the document still has. Otherwise,
   * requests would enter after each change of the document until responses have
   * reported the levels of deeper services again.
   */
  #keepDiscoveredServices(previous: DocumentView | undefined): void {
    if (previous === undefined) {
      return;
    }
    const { routes, services } = this.document;
    const fallbackRoutes = [...services.keys()].map((service) => ({
      ...fallbackRoute,
      service,
    }));
    for (const route of [...routes.flatMap(getParts), ...fallbackRoutes]) {
      const known = previous.#discoveredServices.get(getRouteKey(route));
      if (known !== undefined) {
        const kept = [...known].filter((each) => services.has(each));
        this.#discoveredServices.set(getRouteKey(route), new Set(kept));
      }
    }
  }
}

/** Gets the routes to the services of a split; without one, the route itself. */
function getParts(route: Route): Route[] {
  return route.split?.map(({ service }) => ({ ...route, service })) ?? [route];
}

function getRouteKey({ host, method, path, service }: Route): string {
  return JSON.stringify([host, method, path, service]);
}

/**
 * Route of calls whose own route is unknown. The node that accepted the call
 * from its caller enforces the real deadline and allowance.
 */
const fallbackRoute: Route = {
  service: "",
  host: "",
  method: "*",
  path: "/*",
  classIndex: 0,
  idempotent: false,
  key: "none",
  deadlineMilliseconds: 600_000,
  attemptAllowance: 1,
  calls: [],
};
