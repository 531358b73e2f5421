import type { Directory } from "./directory.ts";
import { getServiceKey, type ServiceName } from "./service_name.ts";
import { type CallingNode, type Locality, SubsetRing } from "./subset_ring.ts";
import type { KnownTarget } from "./target_record.ts";

/** A node that gets views. */
export interface ViewRecipient extends Locality {
  readonly nodeId: string;
}

/** Decides which targets of a service each node gets. */
export class ViewPlanner {
  readonly #directory: Directory;
  readonly #getCallers: (name: ServiceName) => readonly string[];
  readonly #rings = new Map<string, Map<string, SubsetRing>>();

  /**
   * @param directory The known targets.
   * @param getCallers Gets the services whose nodes have views of a service.
   */
  constructor(
    directory: Directory,
    getCallers: (name: ServiceName) => readonly string[],
  ) {
    this.#directory = directory;
    this.#getCallers = getCallers;
  }

  /**
   * Gets the targets of a service that a node should have.
   * @param name The service.
   * @param node The node.
   */
  getView(name: ServiceName, node: ViewRecipient): KnownTarget[] {
    const serviceKey = getServiceKey(name);
    let rings = this.#rings.get(serviceKey);
    if (rings === undefined) {
      rings = new Map();
      this.#rings.set(serviceKey, rings);
    }
    const localityKey = `${node.region}\0${node.availabilityZone}`;
    let ring = rings.get(localityKey);
    if (ring === undefined) {
      ring = this.#createRing(name, node);
      rings.set(localityKey, ring);
    }
    return ring.select(node.nodeId);
  }

  /** Discards the subsets of a service after its targets or callers changed. */
  invalidate(name: ServiceName): void {
    this.#rings.delete(getServiceKey(name));
  }

  /**
   * Discards all subsets after the calls that the document declares changed.
   */
  clear(): void {
    this.#rings.clear();
  }

  #createRing(name: ServiceName, locality: Locality): SubsetRing {
    const callers: CallingNode[] = [];
    for (const service of this.#getCallers(name)) {
      const { environment } = name;
      const targets = this.#directory.getTargets({ environment, service });
      for (const target of targets.values()) {
        if (target.region === locality.region) {
          callers.push(target);
        }
      }
    }
    return new SubsetRing(
      this.#directory.getTargets(name).values(),
      callers,
      locality,
    );
  }
}
