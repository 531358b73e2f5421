import type {
  DeclaredCall,
  EnvironmentDocument,
  Route,
} from "./environment_document.ts";

/** The calls between services that a document declares. */
export class CallGraph {
  readonly #callees = new Map<string, Map<string, number>>();
  readonly #needs = new Map<string, number>();
  readonly #depths = new Map<string, number>();
  readonly #reached = new Map<string, ReadonlySet<string>>();

  /**
   * @param document The document, or the part of it that a node has.
   */
  constructor(document: Pick<EnvironmentDocument, "routes">) {
    for (const route of document.routes) {
      this.#addCalls(route);
    }
  }

  /**
   * Gets a cycle that is reached from a service.
   * @param service Where to start.
   * @returns The services on the cycle, first one repeated; `undefined` when
   * there is none.
   */
  getCycle(service: string): string[] | undefined {
    return this.#findCycle(service, [], new Set());
  }

  /**
   * Gets the attempts that one call of a service takes when nothing is
   * retried, the call itself included. A service counts with the largest
   * number of calls that one of its routes declares to each callee.
   * @param service The called service; must not be on a cycle.
   * @returns The number of attempts, at least 1.
   */
  getRequiredAttempts(service: string): number {
    const known = this.#needs.get(service);
    if (known !== undefined) {
      return known;
    }
    let need = 1;
    for (const [callee, count] of this.#getCallees(service)) {
      need += count * this.getRequiredAttempts(callee);
    }
    this.#needs.set(service, need);
    return need;
  }

  /** Gets the attempts that one call of a route takes without retries. */
  getRouteRequiredAttempts(route: Pick<Route, "calls">): number {
    return route.calls.reduce(
      (need, call) =>
        need + call.count * this.getRequiredAttempts(call.service),
      1,
    );
  }

  /** Gets the number of calls on the longest chain that a route starts. */
  getRouteDepth(route: Pick<Route, "calls">): number {
    return 1 + getMaximum(route.calls.map((call) => this.#getDepth(call)));
  }

  /**
   * Gets the services that a call of a route can reach, its own left out.
   * @param route The route.
   * @returns Names of the services.
   */
  getReachableServices(route: Pick<Route, "calls">): ReadonlySet<string> {
    const reached = new Set<string>();
    for (const call of route.calls) {
      reached.add(call.service);
      this.getServicesReachableFrom(call.service).forEach((each) =>
        reached.add(each)
      );
    }
    return reached;
  }

  /** Gets the services that calls of a service can reach, itself left out. */
  getServicesReachableFrom(service: string): ReadonlySet<string> {
    const known = this.#reached.get(service);
    if (known !== undefined) {
      return known;
    }
    const reached = new Set<string>();
    // Set before the loop, so that a cycle ends here.
    this.#reached.set(service, reached);
    for (const callee of this.#getCallees(service).keys()) {
      reached.add(callee);
      this.getServicesReachableFrom(callee).forEach((each) =>
        reached.add(each)
      );
    }
    return reached;
  }

  /** Gets the services that a service calls directly. */
  getDirectCallees(service: string): readonly string[] {
    return [...this.#getCallees(service).keys()];
  }

  #addCalls(route: Route): void {
    const callees = this.#callees.get(route.service) ?? new Map();
    this.#callees.set(route.service, callees);
    for (const [service, count] of sumCounts(route.calls)) {
      callees.set(service, Math.max(callees.get(service) ?? 0, count));
    }
  }

  #getCallees(service: string): ReadonlyMap<string, number> {
    return this.#callees.get(service) ?? new Map<string, number>();
  }

  #getDepth(call: DeclaredCall): number {
    const known = this.#depths.get(call.service);
    if (known !== undefined) {
      return known;
    }
    const callees = this.getDirectCallees(call.service);
    const depth = 1 + getMaximum(
      callees.map((service) => this.#getDepth({ service, count: 1 })),
    );
    this.#depths.set(call.service, depth);
    return depth;
  }

  #findCycle(
    service: string,
    path: readonly string[],
    finished: Set<string>,
  ): string[] | undefined {
    if (path.includes(service)) {
      return [...path.slice(path.indexOf(service)), service];
    }
    if (finished.has(service)) {
      return undefined;
    }
    for (const callee of this.#getCallees(service).keys()) {
      const cycle = this.#findCycle(callee, [...path, service], finished);
      if (cycle !== undefined) {
        return cycle;
      }
    }
    finished.add(service);
    return undefined;
  }
}

function sumCounts(calls: readonly DeclaredCall[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const call of calls) {
    counts.set(call.service, (counts.get(call.service) ?? 0) + call.count);
  }
  return counts;
}

function getMaximum(values: readonly number[]): number {
  return values.reduce((most, value) => Math.max(most, value), 0);
}
