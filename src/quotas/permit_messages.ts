/** Permits of one tenant that a node needs. */
export interface PermitWant {
  readonly tenant: string;
  /** Requests that wait for a permit. */
  readonly waiting: number;
  /** Permits for the requests that are expected next. */
  readonly stock: number;
}

/** Needs of a node for several tenants, in addition to earlier requests. */
export interface PermitRequest {
  /** Grows with each request in a session. */
  readonly number: number;
  readonly wants: readonly PermitWant[];
}

/** Permits for one want of a permit request. */
export interface PermitGrant {
  /** Grows with each grant in a session. */
  readonly sequence: number;
  /** Number of the permit request. */
  readonly number: number;
  readonly tenant: string;
  /** 0 when the grant only states the expected wait. */
  readonly permits: number;
  /**
   * Time from the arrival of the permit request until the permits were deducted
   * from a bucket; negative when they were deducted earlier, by another instance.
   */
  readonly issueOffsetMilliseconds: number;
  /** Time until the instance expects to grant one more permit to its nodes. */
  readonly expectedWaitMilliseconds: number;
}

/** Permits of a tenant, in fractions, that one instance needs from others. */
export interface PermitDeficit {
  readonly tenant: string;
  readonly permits: number;
}

/** Time that a request waits for a permit. */
export const maximumPermitWaitMilliseconds = 300;
/** Time for which an instance keeps a want for stock that it cannot grant. */
export const stockWantMilliseconds = 100;
