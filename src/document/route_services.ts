import type { Route } from "./environment_document.ts";

/**
 * Gets the services that calls of a route may go to.
 * @param route The route.
 * @returns The parts of its split, or its service.
 */
export function getRouteServices(
  route: Pick<Route, "service" | "split">,
): readonly string[] {
  return route.split?.map((part) => part.service) ?? [route.service];
}
