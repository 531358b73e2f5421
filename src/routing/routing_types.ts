import type { Clock, RandomSource } from "../common/mod.ts";

/** A target in the view of a node. */
export interface RoutingTarget {
  readonly targetId: string;
  readonly nodeAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  /**
   * Identifies a start of the target. With a new incarnation, the state that
   * the router keeps about the target is reset.
   */
  readonly incarnation: number;
  readonly isDraining: boolean;
  /** Time since the target became ready, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * By what the targets of a service are compared: the calls that they have over
 * their slots, or the time in which they are expected to complete a call.
 */
export type Placement = "load" | "completion-time";

/** Settings of the document for the targets of a service. */
export interface ServiceRule {
  readonly slots: number;
  readonly connections: number;
  readonly warmUpMilliseconds: number;
  /** By what targets are compared; by their load when absent. */
  readonly placement?: Placement | undefined;
}

/** A direction between two regions. */
export interface LinkKey {
  readonly from: string;
  readonly to: string;
}

/** Settings of the document for a link; they apply to each direction. */
export interface LinkRule extends LinkKey {
  readonly bytesPerSecond: number;
  /** Share reserved for the most important class, 0 to 1. */
  readonly reservedShare: number;
}

/** Bytes of this node's calls over a link since the last report. */
export interface LinkBytes extends LinkKey {
  readonly bytes: number;
}

/** The share of a link that is assigned to this node. */
export interface LinkShare extends LinkKey {
  readonly bytesPerSecond: number;
}

/** Load of a target that its node reported with a response. */
export interface LoadHint {
  readonly running: number;
  readonly queued: number;
  /** Concurrency limit of the target. */
  readonly limit: number;
  /** Mean time of a call at the target without nested calls, if known. */
  readonly serviceMilliseconds?: number | undefined;
}

/** Outcome of an attempt, as far as it matters for routing. */
export interface AttemptOutcome {
  readonly kind:
    /** A response arrived, possibly with an error status. */
    | "completed"
    /** The target or its node refused for lack of capacity. */
    | "refused"
    /** No connection could be made. */
    | "unreachable"
    /** The connection was reset, or the response was late or incomplete. */
    | "failed"
    /** The caller disconnected, which does not count against the target. */
    | "cancelled";
  readonly hint?: LoadHint | undefined;
  /** Time of the attempt, for targets whose hints have no service time. */
  readonly elapsedMilliseconds?: number | undefined;
  /** Whether the response is due to a fault of the target; absent if unknown. */
  readonly isError?: boolean | undefined;
  /** `reservedBytes` of the route choice, if the call crossed a link. */
  readonly reservedBytes?: number | undefined;
}

/** A call that needs a target. */
export interface RouteRequest {
  readonly service: string;
  /** Index of the class; 0 is the most important. */
  readonly classIndex: number;
  /** Targets that must not be chosen, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Bytes that the call will send, if known. */
  readonly expectedBytes?: number;
  /** Time until the deadline of the call, if known. */
  readonly remainingMilliseconds?: number;
}

/** Options of a router. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: string;
  readonly availabilityZone: string;
  /** ID of the local target of this node, if it has one. */
  readonly localTargetId?: string | undefined;
  readonly links?: readonly LinkRule[];
  /** Called when a target is ejected; `milliseconds` is for how long. */
  onEjected?(target: RoutingTarget, milliseconds: number): void;
}
