import type { EnvironmentDocument, Route } from "./environment_document.ts";

/** Finds the route of a call. */
export class RouteTable {
  readonly #routes = new Map<string, Route[]>();
  readonly #hostRoutes = new Map<string, Route[]>();

  /**
   * @param document The document, or the part of it that a node has.
   */
  constructor(document: Pick<EnvironmentDocument, "routes">) {
    for (const route of document.routes) {
      if (route.host === undefined) {
        addRoute(this.#routes, route.service, route);
      } else {
        addRoute(this.#hostRoutes, route.host, route);
      }
    }
    for (const table of [this.#routes, this.#hostRoutes]) {
      table.forEach((routes) => routes.sort(compareRoutes));
    }
  }

  /** Checks whether any route is found by the host of a call. */
  get hasHostRoutes(): boolean {
    return this.#hostRoutes.size > 0;
  }

  /**
   * Gets the most specific route that a call matches.
   * @param call Service, method in upper case, and path without its query.
   * @returns The route, or `undefined` when none matches.
   */
  getRoute(
    call: { service: string; method: string; path: string },
  ): Route | undefined {
    return findRoute(this.#routes.get(call.service), call);
  }

  /**
   * Gets the most specific route of a host that a call matches.
   * @param call Host in lower case, method in upper case, and path without its
   * query.
   * @returns The route, or `undefined` when none matches.
   */
  getHostRoute(
    call: { host: string; method: string; path: string },
  ): Route | undefined {
    return findRoute(this.#hostRoutes.get(call.host), call);
  }
}

function addRoute(
  table: Map<string, Route[]>,
  key: string,
  route: Route,
): void {
  const routes = table.get(key);
  if (routes === undefined) {
    table.set(key, [route]);
  } else {
    routes.push(route);
  }
}

function findRoute(
  routes: readonly Route[] | undefined,
  call: { method: string; path: string },
): Route | undefined {
  return routes?.find((route) =>
    (route.method === "*" || route.method === call.method) &&
    matchesPath(route, call.path)
  );
}

function matchesPath(route: Route, path: string): boolean {
  return route.path.endsWith("*")
    ? path.startsWith(route.path.slice(0, -1))
    : path === route.path;
}

/** Orders exact paths before prefixes, longer paths first, `*` methods last. */
function compareRoutes(a: Route, b: Route): number {
  const isPrefix = (route: Route) => route.path.endsWith("*") ? 1 : 0;
  const isAnyMethod = (route: Route) => route.method === "*" ? 1 : 0;
  return isPrefix(a) - isPrefix(b) || b.path.length - a.path.length ||
    isAnyMethod(a) - isAnyMethod(b);
}
