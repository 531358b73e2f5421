import type {
  EnvironmentDocument,
  Route,
  Service,
} from "../src/document/mod.ts";

const layers = 10;
const servicesPerLayer = 17;

/** Gets the name of a service of {@link createLargeDocument}. */
export function getServiceName(layer: number, number: number): string {
  return `service-${layer}-${number % servicesPerLayer}`;
}

/**
 * Creates a document of the design size: 170 services in 10 layers. Each service
 * calls two services of the next layer, so the part of the document for a node
 * of the first layer is nearly the whole document.
 * @param variant Added to the slots of one service in each layer, to create
 *   documents that differ.
 */
export function createLargeDocument(variant = 0): EnvironmentDocument {
  const services = new Map<string, Service>();
  const routes: Route[] = [];
  for (let layer = 0; layer < layers; layer++) {
    for (let number = 0; number < servicesPerLayer; number++) {
      const name = getServiceName(layer, number);
      services.set(name, {
        name,
        slots: 36 + (number === 0 ? variant : 0),
        connections: 300,
        shedSignal: { status: 503, header: "x-shed" },
        retryRatio: 0.1,
        warmUpMilliseconds: 3000,
      });
      for (const method of ["GET", "POST"]) {
        routes.push({
          service: name,
          method,
          path: `/${name}/items/*`,
          classIndex: method === "GET" ? 2 : 0,
          idempotent: method === "GET",
          key: method === "GET" ? "none" : "required",
          deadlineMilliseconds: 3000,
          attemptAllowance: 2048,
          calls: layer + 1 === layers ? [] : [0, 1].map((step) => ({
            service: getServiceName(layer + 1, number + step),
            count: 1,
          })),
        });
      }
    }
  }
  const regions = ["Puget", "Willamette", "Inland"];
  return {
    format: 1,
    objective: "recovery",
    classes: ["redemption", "enrollment", "balance"],
    callerHeader: "x-client",
    maximumDepth: 10,
    callerShare: 0.5,
    quarantineSeconds: 3600,
    services,
    routes,
    links: regions.map((from, index) => ({
      from,
      to: regions[(index + 1) % regions.length] ?? "",
      bytesPerSecond: 500_000_000,
      reservedShare: 0.2,
    })),
    ledger: {
      retentionSeconds: 691_200,
      answerSeconds: 3600,
      answerBytes: 4096,
      maximumClaims: 200_000,
    },
  };
}
