import type {
  DeclaredCall,
  EnvironmentDocument,
  Route,
} from "./environment_document.ts";

/** Graph of the calls between services that a document declares. */
export class CallGraph {
  readonly #callees = new Map<string, Map<string, number>>();
  readonly #requiredAttempts = new Map<string, number>();
  readonly #depths = new Map<string, number>();
  readonly #reachable = new Map<string, ReadonlySet<string>>();

  /**
   * @param document The document, or the part of it that a node has.
   */
  constructor(document: Pick<EnvironmentDocument, "routes">) {
    for (const route of document.routes) {
      this.#addCalls(route);
    }
  }

  /**
   * Gets a cycle that is reachable from a service.
   * @param service Service to start from.
   * @returns The services on the cycle, with the first one repeated at the end;
   * `undefined` when there is none.
   */
  getCycle(service: string): string[] | undefined {
    return this.#findCycle(service, [], new Set());
  }

  /**
   * Gets the attempts that one call of a service takes without retries, the call
   * itself included. When several routes of a service declare calls to the same
   * callee, the largest number counts.
   * @param service The called service; must not reach a cycle.
   * @returns The number of attempts, at least 1.
   */
  getRequiredAttempts(service: string): number {
    const known = this.#requiredAttempts.get(service);
    if (known !== undefined) {
      return known;
    }
    let requiredAttempts = 1;
    for (const [callee, count] of this.#getCallees(service)) {
      requiredAttempts += count * this.getRequiredAttempts(callee);
    }
    this.#requiredAttempts.set(service, requiredAttempts);
    return requiredAttempts;
  }

  /** Gets the attempts that one call of a route takes without retries. */
  getRouteRequiredAttempts(route: Pick<Route, "calls">): number {
    return route.calls.reduce(
      (requiredAttempts, call) =>
        requiredAttempts + call.count * this.getRequiredAttempts(call.service),
      1,
    );
  }

  /** Gets the number of calls on the longest chain that a route starts. */
  getRouteDepth(route: Pick<Route, "calls">): number {
    return 1 + getMaximum(route.calls.map((call) => this.#getDepth(call)));
  }

  /**
   * Gets the services that a call of a route can reach, without its own.
   * @param route The route.
   * @returns Names of the services.
   */
  getReachableServices(route: Pick<Route, "calls">): ReadonlySet<string> {
    const reachable = new Set<string>();
    for (const call of route.calls) {
      reachable.add(call.service);
      this.getServicesReachableFrom(call.service).forEach((each) =>
        reachable.add(each)
      );
    }
    return reachable;
  }

  /** Gets the services that calls of a service can reach, without itself. */
  getServicesReachableFrom(service: string): ReadonlySet<string> {
    const known = this.#reachable.get(service);
    if (known !== undefined) {
      return known;
    }
    const reachable = new Set<string>();
    // Stored before the loop, so that the recursion ends on a cycle.
    this.#reachable.set(service, reachable);
    for (const callee of this.#getCallees(service).keys()) {
      reachable.add(callee);
      this.getServicesReachableFrom(callee).forEach((each) =>
        reachable.add(each)
      );
    }
    return reachable;
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
  return values.reduce((maximum, value) => Math.max(maximum, value), 0);
}
