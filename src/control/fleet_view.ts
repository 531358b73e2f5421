import type { TargetRecord } from "../protocol/generated/session.ts";

/** A node whose lease runs, on whichever instance. */
export interface LiveNode {
  readonly nodeId: string;
  readonly service: string;
  readonly nodeAddress: string;
  /** Highest document revision that it reported as in force; 0 for none. */
  readonly revision: number;
  /** False while its lease runs but no instance has its session. */
  readonly isConnected: boolean;
  readonly admissionLevel: number;
}

/** What became of a request to drain a target. */
export type DrainOutcome =
  /** The node was asked, or the target already drains; its state now. */
  | { readonly kind: "asked"; readonly state: string }
  | { readonly kind: "unknown-target" }
  /** Another instance has the session of the target's node. */
  | { readonly kind: "elsewhere"; readonly controlAddress: string };

/** What the session server tells the control process. */
export interface FleetView {
  /** Gets the live nodes of an environment, those of other instances too. */
  getLiveNodes(environment: string): readonly LiveNode[];
  getTargets(environment: string): readonly TargetRecord[];
  /** Asks the node of a target to drain it. */
  drain(request: {
    readonly environment: string;
    readonly targetId: string;
  }): Promise<DrainOutcome>;
}

/** A fleet without nodes. */
export const emptyFleet: FleetView = {
  getLiveNodes: () => [],
  getTargets: () => [],
  drain: () => Promise.resolve({ kind: "unknown-target" }),
};
