import type { Clock, RandomSource } from "../common/mod.ts";

/** A target as the view of a node knows it. */
export interface RoutingTarget {
  readonly targetId: string;
  readonly nodeAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Start of the target; a larger one replaces all that is known. */
  readonly incarnation: number;
  readonly isDraining: boolean;
  /** Time since the target became ready, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** What the document says about the targets of a service. */
export interface ServiceRule {
  readonly slots: number;
  readonly connections: number;
  readonly warmUpMilliseconds: number;
}

/** A direction between two regions. */
export interface LinkKey {
  readonly from: string;
  readonly to: string;
}

/** What the document says about a link; it holds for each direction. */
export interface LinkRule extends LinkKey {
  readonly bytesPerSecond: number;
  /** Part kept for the most important class, 0 to 1. */
  readonly reservedShare: number;
}

/** Bytes that this node sent over a link since the last report. */
export interface LinkBytes extends LinkKey {
  readonly bytes: number;
}

/** The part of a link that this node may use. */
export interface LinkShare extends LinkKey {
  readonly bytesPerSecond: number;
}

/** Load of a target as its own node stated it on a response. */
export interface LoadHint {
  readonly running: number;
  readonly queued: number;
  /** Calls that the target's node runs at once. */
  readonly limit: number;
}

/** How an attempt ended, as far as routing is concerned. */
export interface AttemptOutcome {
  readonly kind:
    /** A response came, also one that states an error of the application. */
    | "completed"
    /** The target or its node refused for lack of capacity. */
    | "refused"
    /** No connection could be made. */
    | "unreachable"
    /** The connection broke, or the response was late or incomplete. */
    | "failed"
    /** The caller left; says nothing about the target. */
    | "cancelled";
  readonly hint?: LoadHint | undefined;
  /** Whether the response shows a fault of the target; absent when unknown. */
  readonly isError?: boolean | undefined;
  /** `reservedBytes` of the choice, when the call crossed a link. */
  readonly reservedBytes?: number | undefined;
}

/** A call that needs a target. */
export interface RouteRequest {
  readonly service: string;
  /** Index of the class; 0 is the most important. */
  readonly classIndex: number;
  /** Targets that this call has tried. */
  readonly excluded: ReadonlySet<string>;
  /** Bytes that the call will send, when known. */
  readonly expectedBytes?: number;
}

/** Options of a router. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: string;
  readonly availabilityZone: string;
  /** Target beside this node. */
  readonly localTargetId?: string | undefined;
  readonly links?: readonly LinkRule[];
  /** Called when a target gets no calls for a time, in milliseconds. */
  onEjected?(target: RoutingTarget, milliseconds: number): void;
}
