import type { DocumentHistory } from "../configuration/mod.ts";
import type { FleetView } from "./fleet_view.ts";

/** Options of {@link InForceMarker}. */
export interface InForceMarkerOptions {
  readonly history: DocumentHistory;
  readonly fleet: FleetView;
  readonly isLeader: () => boolean;
  /** Proposes to mark a revision as in force. */
  readonly propose: (environment: string, revision: number) => Promise<unknown>;
}

/**
 * Marks the current revision of an environment as in force after all its live
 * nodes have reported this revision or a later one. Only the leader proposes the
 * mark.
 */
export class InForceMarker {
  readonly #options: InForceMarkerOptions;
  /** Environments with a proposal in flight. */
  readonly #proposedEnvironments = new Set<string>();

  constructor(options: InForceMarkerOptions) {
    this.#options = options;
  }

  /** Checks every environment; to be called periodically. */
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
    // Without live nodes, the revision is not marked.
    const nodes = fleet.getLiveNodes(environment);
    const isOnAllNodes = nodes.length > 0 &&
      nodes.every((node) => node.revision >= current.revision);
    if (!isOnAllNodes || this.#proposedEnvironments.has(environment)) {
      return;
    }
    this.#proposedEnvironments.add(environment);
    try {
      await propose(environment, current.revision);
    } finally {
      this.#proposedEnvironments.delete(environment);
    }
  }
}
