import type { EnvironmentDocument } from "./environment_document.ts";

/** Numbers that tell two documents apart in a log. */
export interface DocumentSize {
  readonly services: number;
  readonly routes: number;
  /** Number of different hosts of the routes. */
  readonly hosts: number;
}

/**
 * Gets the size of a document. The parts of a document for the nodes of two
 * services can have different sizes.
 * @param document The document, or a part of it.
 * @returns Numbers of its services, routes and hosts.
 */
export function getDocumentSize(
  { services, routes }: EnvironmentDocument,
): DocumentSize {
  const hosts = new Set(routes.map(({ host }) => host));
  hosts.delete(undefined);
  return {
    services: services.size,
    routes: routes.length,
    hosts: hosts.size,
  };
}
