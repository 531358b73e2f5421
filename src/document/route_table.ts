import type { EnvironmentDocument, Route } from "./environment_document.ts";

/** Finds the route of a call. */
export class RouteTable {
  readonly #routes = new Map<string, Route[]>();

  /**
   * @param document The document, or the part of it that a node has.
   */
  constructor(document: Pick<EnvironmentDocument, "routes">) {
    for (const route of document.routes) {
      const routes = this.#routes.get(route.service) ?? [];
      routes.push(route);
      this.#routes.set(route.service, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort(compareRoutes);
    }
  }

  /**
   * Gets the most specific route that a call matches.
   * @param call Service, method in upper case, and path without its query.
   * @returns The route, or `undefined` when none matches.
   */
  getRoute(
    call: { service: string; method: string; path: string },
  ): Route | undefined {
    return this.#routes.get(call.service)?.find((route) =>
      (route.method === "*" || route.method === call.method) &&
      hasPath(route, call.path)
    );
  }
}

function hasPath(route: Route, path: string): boolean {
  return route.path.endsWith("*")
    ? path.startsWith(route.path.slice(0, -1))
    : path === route.path;
}

/** Exact paths first, then longer prefixes, then named methods. */
function compareRoutes(a: Route, b: Route): number {
  const isPrefix = (route: Route) => route.path.endsWith("*") ? 1 : 0;
  const isAnyMethod = (route: Route) => route.method === "*" ? 1 : 0;
  return isPrefix(a) - isPrefix(b) || b.path.length - a.path.length ||
    isAnyMethod(a) - isAnyMethod(b);
}
