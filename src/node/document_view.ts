import {
  CallGraph,
  type EnvironmentDocument,
  type Route,
  RouteTable,
  type Service,
} from "../document/mod.ts";
import type { RandomSource } from "../common/mod.ts";
import type { CallCounters, ClassCounters } from "./call_counters.ts";
import { SplitPlans } from "./split_plans.ts";

/** A route with everything about it that calls need, computed once. */
export interface RoutePlan {
  readonly route: Route;
  readonly service: Service;
  /** Attempts that a call takes without retries, itself included. */
  readonly need: number;
  /** The route's service first, then all that its calls reach. */
  readonly reached: readonly string[];
  /** Further services that calls of the route turned out to reach. */
  readonly learned: Set<string>;
  /** Counters by class index. */
  readonly counters: readonly ClassCounters[];
}

/** Settings of a {@link DocumentView}. */
export interface DocumentViewOptions {
  readonly revision: number;
  readonly counters: CallCounters;
  readonly random?: RandomSource;
}

/** The document in force at a node. */
export class DocumentView {
  readonly document: EnvironmentDocument;
  readonly revision: number;
  readonly #routes: RouteTable;
  readonly #graph: CallGraph;
  readonly #counters: CallCounters;
  readonly #plans = new Map<Route, RoutePlan>();
  readonly #splits: SplitPlans;
  readonly #fallbackRoutes = new Map<string, Route>();

  /**
   * @param document The document, or the part for this node.
   * @param options Its revision and the counters.
   */
  constructor(document: EnvironmentDocument, options: DocumentViewOptions) {
    this.document = document;
    this.revision = options.revision;
    this.#counters = options.counters;
    this.#routes = new RouteTable(document);
    this.#graph = new CallGraph(document);
    this.#splits = new SplitPlans({
      random: options.random ?? Math.random,
      createPlan: (route) => this.#createPlan(route),
    });
  }

  /** Reports whether calls are accepted by their host. */
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
   * Gets the plan of the route that a call to a host matches. A route with a
   * split gives its parts in turn, so that they keep their weights exactly.
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
      : this.#splits.take(route);
  }

  /**
   * Gets a plan for calls that another node sends to the target of a service
   * and whose route only that node knows.
   * @param service The service of the target beside this node.
   */
  getFallbackPlan(service: string): RoutePlan | undefined {
    const route = this.#fallbackRoutes.get(service) ?? {
      ...fallbackRoute,
      service,
    };
    this.#fallbackRoutes.set(service, route);
    return this.#plans.get(route) ?? this.#createPlan(route);
  }

  /** Gets the name of a class, or its number when it has none. */
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
      need: this.#graph.getRouteRequiredAttempts(route),
      reached: [route.service, ...this.#graph.getReachableServices(route)],
      learned: new Set<string>(),
      counters: this.document.classes.map((name) =>
        this.#counters.get(route.service, name)
      ),
    };
    this.#plans.set(route, plan);
    return plan;
  }
}

/** The node that a caller reached enforces deadline and allowance. */
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
