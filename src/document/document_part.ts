import { CallGraph } from "./call_graph.ts";
import type { EnvironmentDocument } from "./environment_document.ts";
import { getRouteServices } from "./route_services.ts";

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * Gets the part of a document that the nodes of one service need: the service,
 * the services that its calls can reach, their routes, and the links. Services
 * of routes with a host are included, because every node accepts those routes.
 * @param document The whole document.
 * @param service The service of the node that receives the part.
 * @returns A document with fewer services and routes.
 */
export function getDocumentPart(
  document: EnvironmentDocument,
  service: string,
): EnvironmentDocument {
  const kept = new Set(
    new CallGraph(document).getServicesReachableFrom(service),
  );
  kept.add(service);
  const hostRoutes = document.routes.filter((route) =>
    route.host !== undefined
  );
  for (const route of hostRoutes) {
    getRouteServices(route).forEach((each) => kept.add(each));
  }
  return {
    ...document,
    services: new Map(
      [...document.services].filter(([name]) => kept.has(name)),
    ),
    routes: document.routes.filter((route) => kept.has(route.service)),
  };
}

/**
 * Encodes a part of a document, to be sent to a node. Parts that differ only in
 * the version of their documents are equal.
 * @param part The part.
 * @returns UTF-8 JSON.
 */
export function encodeDocumentPart(part: EnvironmentDocument): Uint8Array {
  const plain = {
    ...part,
    sourceVersion: undefined,
    services: [...part.services.values()],
  };
  return encoder.encode(JSON.stringify(plain));
}

/**
 * Decodes a part of a document.
 * @param bytes Bytes that {@link encodeDocumentPart} returned.
 * @returns The part.
 */
export function decodeDocumentPart(bytes: Uint8Array): EnvironmentDocument {
  const plain = JSON.parse(decoder.decode(bytes));
  return {
    ...plain,
    services: new Map(
      plain.services.map((each: { name: string }) => [each.name, each]),
    ),
  };
}
