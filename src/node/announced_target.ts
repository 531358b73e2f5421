import type { Clock } from "../common/mod.ts";
import type { Endpoint } from "../settings/mod.ts";

/** State of the target beside this node. */
export type TargetState =
  | "absent"
  | "ready"
  | "draining"
  | "left"
  | "expired"
  | "crashed";

/** What a target says when it announces itself. */
export interface TargetAnnouncement {
  readonly endpoint: Endpoint;
  /** Start of the target, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Name of this start of the target, when it gives one. */
  readonly instanceId?: string;
  /** Calls that the target runs at once; the document's slots when absent. */
  readonly slots?: number;
}

/** Settings of an {@link AnnouncedTarget}. */
export interface AnnouncedTargetOptions {
  readonly clock: Clock;
  /** Time without renewal after which the target is gone. */
  readonly leaseMilliseconds: number;
  /** Called after each change of state or incarnation. */
  onChange(previous: TargetState): void;
}

/** Follows the announcements of the target beside this node. */
export class AnnouncedTarget {
  readonly #options: AnnouncedTargetOptions;
  #state: TargetState = "absent";
  #announcement: TargetAnnouncement | undefined;
  #readySinceMilliseconds = 0;
  #sequence = 0;
  #hasLease = false;
  #leaseTimer: NodeJS.Timeout | undefined;

  /** @param options Clock, lease and listener. */
  constructor(options: AnnouncedTargetOptions) {
    this.#options = options;
  }

  get state(): TargetState {
    return this.#state;
  }

  /** Gets the last announcement; `undefined` when there was none. */
  get announcement(): TargetAnnouncement | undefined {
    return this.#announcement;
  }

  /** Counts the changes; larger is newer. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Gets the time since the target became ready, in milliseconds. */
  getAgeMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() -
      this.#readySinceMilliseconds;
  }

  /**
   * Records an announcement. An older incarnation is ignored, and one that
   * drains or left stays so, because an operator may have asked for it.
   * @param announcement What the target says.
   * @param options Whether the target must renew; settings announce without.
   * @returns Whether it was accepted.
   */
  announce(
    announcement: TargetAnnouncement,
    options: { hasLease: boolean },
  ): boolean {
    const known = this.#announcement;
    if (known !== undefined && announcement.incarnation < known.incarnation) {
      return false;
    }
    const isNew = known?.incarnation !== announcement.incarnation;
    this.#announcement = announcement;
    this.#hasLease = options.hasLease;
    this.#renewLease();
    const hasLeft = this.#state === "draining" || this.#state === "left";
    if (isNew || (this.#state !== "ready" && !hasLeft)) {
      this.#readySinceMilliseconds = this.#options.clock
        .monotonicMilliseconds();
      this.#setState("ready");
    }
    return true;
  }

  /**
   * Renews the lease. A target that is gone must announce itself again.
   * @returns Whether the target is known.
   */
  renew(): boolean {
    if (this.#state !== "ready" && this.#state !== "draining") {
      return false;
    }
    this.#renewLease();
    return true;
  }

  /** Records that the target takes no new work. */
  drain(): boolean {
    return this.#transition(["ready"], "draining") ||
      this.#state === "draining";
  }

  /** Records that the target leaves. */
  leave(): boolean {
    return this.#transition(["ready", "draining"], "left") ||
      this.#state === "left";
  }

  /** Records that the target does not accept connections any more. */
  onCrash(): void {
    this.#transition(["ready", "draining"], "crashed");
  }

  /** Stops the lease timer. */
  stop(): void {
    clearTimeout(this.#leaseTimer);
  }

  #transition(from: readonly TargetState[], to: TargetState): boolean {
    if (!from.includes(this.#state)) {
      return false;
    }
    this.#setState(to);
    return true;
  }

  #setState(to: TargetState): void {
    const previous = this.#state;
    this.#state = to;
    this.#sequence++;
    if (to !== "ready" && to !== "draining") {
      clearTimeout(this.#leaseTimer);
    }
    this.#options.onChange(previous);
  }

  #renewLease(): void {
    clearTimeout(this.#leaseTimer);
    if (this.#hasLease) {
      this.#leaseTimer = setTimeout(
        () => this.#transition(["ready", "draining"], "expired"),
        this.#options.leaseMilliseconds,
      );
      this.#leaseTimer.unref();
    }
  }
}
