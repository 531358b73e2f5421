/** What the operators want most when not everything can be had. */
export type Objective = "goodput" | "recovery";

/** Whether a route's calls must carry an idempotency key. */
export type KeyRequirement = "required" | "optional" | "none";

/** An answer by which a target says that it shed a call without running it. */
export interface ShedSignal {
  readonly status: number;
  /** Name of a header that must be present, in lower case; absent for none. */
  readonly header?: string | undefined;
}

/** Calls that a route makes to another service for each of its own calls. */
export interface DeclaredCall {
  readonly service: string;
  /** Calls for each call of the route; at least 1. */
  readonly count: number;
}

/** A service that gets a part of the calls of a route. */
export interface WeightedService {
  readonly service: string;
  /** Share relative to the other parts; positive. */
  readonly weight: number;
}

/** A kind of call to a service. */
export interface Route {
  readonly service: string;
  /**
   * Host by which every node accepts calls of the route, in lower case. A route
   * without one is found by its service.
   */
  readonly host?: string | undefined;
  /** Divides the calls over services; absent when all go to `service`. */
  readonly split?: readonly WeightedService[] | undefined;
  /** Most targets that one call may reach; absent for no limit of its own. */
  readonly maximumTargets?: number | undefined;
  /** Time in which a response has its full value, in milliseconds. */
  readonly latencyGoalMilliseconds?: number | undefined;
  /** HTTP method in upper case, or `*`. */
  readonly method: string;
  /** Path that must match; a trailing `*` matches any rest. */
  readonly path: string;
  /** Index into the classes of the document; 0 is the most important. */
  readonly classIndex: number;
  readonly idempotent: boolean;
  readonly key: KeyRequirement;
  /** Time for a whole request that enters here, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Attempts for a whole request that enters here, first ones included. */
  readonly attemptAllowance: number;
  readonly calls: readonly DeclaredCall[];
}

/** A service and what one of its targets can take. */
export interface Service {
  readonly name: string;
  /** Calls that a target runs at once. */
  readonly slots: number;
  /** Connections that a target accepts. */
  readonly connections: number;
  readonly shedSignal?: ShedSignal | undefined;
  /** Retries allowed for each first attempt, 0 to 1. */
  readonly retryRatio: number;
  /** Time over which a new target ramps up, in milliseconds. */
  readonly warmUpMilliseconds: number;
}

/** A pair of regions and what may be sent between them, each way. */
export interface Link {
  readonly from: string;
  readonly to: string;
  readonly bytesPerSecond: number;
  /** Part kept for the most important class, 0 to 1. */
  readonly reservedShare: number;
}

/** What outside callers may send and how long they may stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for the headers of a request. */
  readonly headerMilliseconds: number;
  /** Time for which an idle connection is kept. */
  readonly idleMilliseconds: number;
}

/** Limits of the claim ledger. */
export interface LedgerSettings {
  /** How long a key is remembered, in seconds. */
  readonly retentionSeconds: number;
  /** How long an answer is held, in seconds. */
  readonly answerSeconds: number;
  /** Largest answer that is held, in bytes. */
  readonly answerBytes: number;
  readonly maximumClaims: number;
}

/** Everything that the operators decide for one environment. */
export interface EnvironmentDocument {
  readonly format: 1;
  readonly objective: Objective;
  /** Names of the classes, the most important first. */
  readonly classes: readonly string[];
  /** Header that names an outside caller, in lower case. */
  readonly callerHeader?: string | undefined;
  readonly maximumDepth: number;
  /** Largest share of a class's slots for one caller, 0 to 1. */
  readonly callerShare: number;
  readonly quarantineSeconds: number;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly links: readonly Link[];
  readonly ledger: LedgerSettings;
  /** Absent for the defaults of the listener. */
  readonly callerLimits?: CallerLimits | undefined;
}
