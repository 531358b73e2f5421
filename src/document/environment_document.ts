/**
 * Goal that counts more under overload: completed requests (goodput), or the
 * time until the service is back to normal (recovery).
 */
export type Objective = "goodput" | "recovery";

/** Whether the calls of a route must, may or do not carry an idempotency key. */
export type KeyRequirement = "required" | "optional" | "none";

/** Response by which a target signals that it shed a call without running it. */
export interface ShedSignal {
  readonly status: number;
  /** Name of a header that must be present, in lower case; absent for none. */
  readonly header?: string | undefined;
}

/** Calls to another service that each call of a route causes. */
export interface DeclaredCall {
  readonly service: string;
  /** Number of calls for each call of the route; at least 1. */
  readonly count: number;
}

/** A service that receives a share of the calls of a route. */
export interface WeightedService {
  readonly service: string;
  /** Weight relative to the other services of the split; positive. */
  readonly weight: number;
}

/** Calls to a service that share a path pattern, with the rules for them. */
export interface Route {
  /** Service of the calls; the first service of `split` if there is a split. */
  readonly service: string;
  /**
   * Host of the route's calls, as `getHostName` returns it. Every node accepts calls to this
   * host. A route without a host is found by its service.
   */
  readonly host?: string | undefined;
  /** Distribution of the calls over services; absent when all go to `service`. */
  readonly split?: readonly WeightedService[] | undefined;
  /** Maximum number of targets that one call may reach; absent for no limit. */
  readonly maximumTargets?: number | undefined;
  /** Latency up to which a response has its full value, in milliseconds. */
  readonly latencyGoalMilliseconds?: number | undefined;
  /** HTTP method in upper case, or `*`. */
  readonly method: string;
  /** Path to match; a trailing `*` matches any suffix. */
  readonly path: string;
  /** Index into the classes of the document; 0 is the most important. */
  readonly classIndex: number;
  readonly idempotent: boolean;
  /** Whether calls need no key of a tenant although the document has tenants. */
  readonly isPublic?: boolean | undefined;
  readonly key: KeyRequirement;
  /** Time for a whole request that enters by this route, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /**
   * Attempts for a whole request that enters by this route, first attempts
   * included.
   */
  readonly attemptAllowance: number;
  readonly calls: readonly DeclaredCall[];
}

/**
 * By what nodes compare the targets of a service: the calls that they have over
 * their slots, or the time in which they are expected to complete a call.
 */
export type Placement = "load" | "completion-time";

/** A service and the capacity of each of its targets. */
export interface Service {
  readonly name: string;
  /** Maximum number of calls that a target runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections that a target accepts. */
  readonly connections: number;
  readonly shedSignal?: ShedSignal | undefined;
  /** Retries that are allowed for each first attempt, from 0 to 1. */
  readonly retryRatio: number;
  /** Time over which a new target ramps up, in milliseconds. */
  readonly warmUpMilliseconds: number;
  /** By what nodes compare the targets; by their load when absent. */
  readonly placement?: Placement | undefined;
}

/** A link between two regions, with its byte budget in each direction. */
export interface Link {
  readonly from: string;
  readonly to: string;
  readonly bytesPerSecond: number;
  /** Share that is reserved for the most important class, from 0 to 1. */
  readonly reservedShare: number;
}

/** Limits for the requests and connections of outside callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to receive the headers of a request. */
  readonly headerMilliseconds: number;
  /** Maximum time for which an idle connection stays open. */
  readonly idleMilliseconds: number;
}

/** Requests that a tenant may make, over all nodes together. */
export interface Quota {
  readonly requestsPerSecond: number;
  /** Requests that may come at once beyond the rate. */
  readonly burst: number;
}

/** A customer whose callers present one of its keys. */
export interface Tenant {
  readonly name: string;
  /** Digests of its keys, as `getKeyDigest` returns them. */
  readonly keyDigests: readonly string[];
  /** Class of its calls; that of the route when absent. */
  readonly classIndex?: number | undefined;
  /** Absent for no limit. */
  readonly quota?: Quota | undefined;
}

/** Retention times and limits of the ledger of idempotency keys. */
export interface LedgerSettings {
  /** Time for which a key is kept, in seconds. */
  readonly retentionSeconds: number;
  /** Time for which an answer is stored, in seconds. */
  readonly answerSeconds: number;
  /** Maximum size of an answer that is stored, in bytes. */
  readonly answerBytes: number;
  readonly maximumClaims: number;
}

/** Configuration that operators set for one environment. */
export interface EnvironmentDocument {
  readonly format: 1;
  /** Version that the operators' own format gives the document; for logs. */
  readonly sourceVersion?: number | undefined;
  readonly objective: Objective;
  /** Names of the classes, the most important first. */
  readonly classes: readonly string[];
  /** Name of the header that identifies an outside caller, in lower case. */
  readonly callerHeader?: string | undefined;
  /** Maximum number of calls on a chain, the first one included. */
  readonly maximumDepth: number;
  /** Maximum share of a class's slots for one caller, from 0 to 1. */
  readonly callerShare: number;
  readonly quarantineSeconds: number;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly links: readonly Link[];
  readonly ledger: LedgerSettings;
  /** Tenants; when present, calls need a key unless their route is public. */
  readonly tenants?: readonly Tenant[] | undefined;
  /** Absent for the defaults of the listener. */
  readonly callerLimits?: CallerLimits | undefined;
}
