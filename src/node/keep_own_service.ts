import type { EnvironmentDocument } from "../document/mod.ts";

/**
 * Keeps the node's own service in a document that no longer has it. Nodes with
 * an earlier document send calls for that service until the change reaches them,
 * and their routes allow these calls.
 * @param document The document to put in force.
 * @param options Name of the node's service, and the document in force before.
 * @returns The document, with the service as it was before if it lacks it.
 */
export function keepOwnService(
  document: EnvironmentDocument,
  options: { service: string; previous: EnvironmentDocument | undefined },
): EnvironmentDocument {
  const { service, previous } = options;
  const previousService = previous?.services.get(service);
  if (previousService === undefined || document.services.has(service)) {
    return document;
  }
  return {
    ...document,
    services: new Map([...document.services, [service, previousService]]),
  };
}
