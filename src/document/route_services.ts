import type { Route } from "./environment_document.ts";

/**
 * Gets the services that may receive the calls of a route.
 * @param route The route.
 * @returns The services of its split, or its single service.
 */
export function getRouteServices(
  route: Pick<Route, "service" | "split">,
): readonly string[] {
  return route.split?.map((each) => each.service) ?? [route.service];
}
