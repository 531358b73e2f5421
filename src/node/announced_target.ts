import type { Clock } from "../common/mod.ts";
import type { Endpoint } from "../settings/mod.ts";
import { DrainConfirmation } from "./drain_confirmation.ts";

/** State of the local target. */
export type LocalTargetState =
  | "absent"
  /** Announced; control may know that it was drained before. */
  | "unconfirmed"
  | "ready"
  | "draining"
  | "left"
  | "expired"
  | "crashed";

/** Announcement of a target to its node. */
export interface TargetAnnouncement {
  readonly endpoint: Endpoint;
  /** Start time of the target, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Instance ID of the target process; absent when it has none. */
  readonly instanceId?: string;
  /** Concurrent calls of the target; the document's `slots` when absent. */
  readonly slots?: number;
}

/** How a target is announced. */
export interface AnnounceOptions {
  /** Whether the announcement expires without renewal; not from the settings. */
  readonly hasLease: boolean;
  /** Whether the target takes no new calls; false when absent. */
  readonly isDraining?: boolean;
}

/** Settings of an {@link AnnouncedTarget}. */
export interface AnnouncedTargetOptions {
  readonly clock: Clock;
  /** Time without a renewal after which the target expires. */
  readonly leaseMilliseconds: number;
  /** Called after each change of the state or the incarnation. */
  onChange(previous: LocalTargetState): void;
}

/** States in which the target renews its lease. */
const liveStates: readonly LocalTargetState[] = [
  "unconfirmed",
  "ready",
  "draining",
];

/** Tracks the state of the local target by its announcements. */
export class AnnouncedTarget {
  /** Tells whether control remembers the drain of the target. */
  readonly drainConfirmation = new DrainConfirmation();
  readonly #options: AnnouncedTargetOptions;
  #state: LocalTargetState = "absent";
  #announcement: TargetAnnouncement | undefined;
  #readySinceMilliseconds = 0;
  #drainedIncarnation = 0;
  #confirmBeforeIncarnation = 0;
  #confirmedIncarnation = 0;
  #sequence = 0;
  #hasLease = false;
  #leaseTimer: NodeJS.Timeout | undefined;
  #leaseEndsMilliseconds = Infinity;

  /** @param options Clock, lease and listener. */
  constructor(options: AnnouncedTargetOptions) {
    this.#options = options;
  }

  get state(): LocalTargetState {
    return this.#state;
  }

  /** Gets the latest announcement; `undefined` when there was none. */
  get announcement(): TargetAnnouncement | undefined {
    return this.#announcement;
  }

  /** Gets the incarnation that was drained or left last; 0 for none. */
  get drainedIncarnation(): number {
    return this.#drainedIncarnation;
  }

  /** Gets the number of changes so far. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Gets the time since the target became ready, in milliseconds. */
  getAgeMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() -
      this.#readySinceMilliseconds;
  }

  /**
   * Makes older targets wait for {@link confirm} before they are ready.
   * @param incarnation The first incarnation that does not wait.
   */
  requireConfirmation(incarnation: number): void {
    this.#confirmBeforeIncarnation = incarnation;
    if (this.#state === "ready" && this.#mustBeConfirmed()) {
      this.#setState("unconfirmed");
    }
  }

  /** Records that the target was not drained before. */
  confirm(): void {
    if (this.#state === "unconfirmed") {
      this.#confirmedIncarnation = this.#announcement?.incarnation ?? 0;
      this.#setReady();
    }
  }

  /**
   * Records an announcement. An older incarnation is ignored. An incarnation
   * that is draining or has left stays in that state, because an operator may
   * have requested it; one that was drained before it expired or crashed drains
   * again.
   * @param announcement The announcement.
   * @param options Whether it expires, and whether the target drains.
   * @returns Whether the announcement was accepted.
   */
  announce(
    announcement: TargetAnnouncement,
    { hasLease, isDraining = false }: AnnounceOptions,
  ): boolean {
    const previous = this.#announcement;
    if (
      previous !== undefined && announcement.incarnation < previous.incarnation
    ) {
      return false;
    }
    const isNew = previous?.incarnation !== announcement.incarnation;
    this.#announcement = announcement;
    this.#hasLease = hasLease;
    this.#renewLease();
    const hasLeft = this.#state === "draining" || this.#state === "left";
    const isAnnounced = this.#state === "ready" ||
      this.#state === "unconfirmed";
    if (isNew || (!isAnnounced && !hasLeft)) {
      const wasDrained = !isNew &&
        announcement.incarnation === this.#drainedIncarnation;
      if (isDraining || wasDrained) {
        this.#setState("draining");
      } else if (this.#mustBeConfirmed()) {
        this.#setState("unconfirmed");
      } else {
        this.#setReady();
      }
    } else if (isDraining) {
      this.drain();
    }
    return true;
  }

  /**
   * Renews the lease. A target that left, expired or crashed must announce
   * itself again.
   * @returns Whether the lease was renewed.
   */
  renew(): boolean {
    if (!liveStates.includes(this.#state)) {
      return false;
    }
    this.#renewLease();
    return true;
  }

  /**
   * Records that the target takes no new calls.
   * @returns Whether the target is draining now.
   */
  drain(): boolean {
    return this.#transition(["unconfirmed", "ready"], "draining") ||
      this.#state === "draining";
  }

  /**
   * Records that the target leaves.
   * @returns Whether the target has left now.
   */
  leave(): boolean {
    return this.#transition(liveStates, "left") ||
      this.#state === "left";
  }

  /**
   * Ends the lease if its time has passed. To be called before a call is sent:
   * after a pause of the process, calls are handled before the timer runs.
   */
  checkLease(): void {
    const now = this.#options.clock.monotonicMilliseconds();
    if (now >= this.#leaseEndsMilliseconds) {
      this.#expire();
    }
  }

  /** Records that the target crashed. */
  onCrash(): void {
    this.#transition(liveStates, "crashed");
  }

  /** Stops the lease timer. */
  stop(): void {
    clearTimeout(this.#leaseTimer);
  }

  #transition(
    from: readonly LocalTargetState[],
    to: LocalTargetState,
  ): boolean {
    if (!from.includes(this.#state)) {
      return false;
    }
    this.#setState(to);
    return true;
  }

  #mustBeConfirmed(): boolean {
    const incarnation = this.#announcement?.incarnation ?? 0;
    return incarnation < this.#confirmBeforeIncarnation &&
      incarnation !== this.#confirmedIncarnation;
  }

  #setReady(): void {
    this.#readySinceMilliseconds = this.#options.clock.monotonicMilliseconds();
    this.#setState("ready");
  }

  #setState(to: LocalTargetState): void {
    const previous = this.#state;
    this.#state = to;
    this.#sequence++;
    if (to === "draining" || to === "left") {
      this.#drainedIncarnation = this.#announcement?.incarnation ?? 0;
    }
    if (!liveStates.includes(to)) {
      clearTimeout(this.#leaseTimer);
    }
    this.#options.onChange(previous);
  }

  #renewLease(): void {
    clearTimeout(this.#leaseTimer);
    this.#leaseEndsMilliseconds = Infinity;
    if (this.#hasLease) {
      const { clock, leaseMilliseconds } = this.#options;
      this.#leaseEndsMilliseconds = clock.monotonicMilliseconds() +
        leaseMilliseconds;
      this.#leaseTimer = setTimeout(() => this.#expire(), leaseMilliseconds);
      this.#leaseTimer.unref();
    }
  }

  #expire(): void {
    this.#transition(liveStates, "expired");
  }
}
