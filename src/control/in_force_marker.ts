import type { DocumentHistory } from "../configuration/mod.ts";
import type { FleetView } from "./fleet_view.ts";

/** What {@link InForceMarker} needs. */
export interface InForceMarkerOptions {
  readonly history: DocumentHistory;
  readonly fleet: FleetView;
  readonly isLeader: () => boolean;
  /** Proposes that a revision is in force. */
  readonly propose: (environment: string, revision: number) => Promise<unknown>;
}

/**
 * Proposes, on the leader, that a revision is in force when all live nodes of
 * its environment reported it or a later one.
 */
export class InForceMarker {
  readonly #options: InForceMarkerOptions;
  readonly #proposing = new Set<string>();

  constructor(options: InForceMarkerOptions) {
    this.#options = options;
  }

  /** Checks every environment; called at short intervals. */
  async check(): Promise<void> {
    if (!this.#options.isLeader()) {
      return;
    }
    const names = this.#options.history.getEnvironments();
    await Promise.all(names.map((each) => this.#checkEnvironment(each)));
  }

  async #checkEnvironment(environment: string): Promise<void> {
    const { history, fleet, propose } = this.#options;
    const current = history.getCurrent(environment);
    if (current === undefined || current.inForceMilliseconds > 0) {
      return;
    }
    // An environment without nodes has nothing in force.
    const nodes = fleet.getLiveNodes(environment);
    const isEverywhere = nodes.length > 0 &&
      nodes.every((node) => node.revision >= current.revision);
    if (!isEverywhere || this.#proposing.has(environment)) {
      return;
    }
    this.#proposing.add(environment);
    try {
      await propose(environment, current.revision);
    } finally {
      this.#proposing.delete(environment);
    }
  }
}
