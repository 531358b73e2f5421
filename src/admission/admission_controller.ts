import type { Clock } from "../common/mod.ts";
import type { RefusalReason } from "../request/mod.ts";
import { AdmissionLevel, type TargetUsage } from "./admission_level.ts";
import {
  type AdmissionEntry,
  AdmissionQueue,
  compareEntries,
} from "./admission_queue.ts";
import type {
  AdmissionDecision,
  AdmissionEvent,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionStatus,
  CallOutcome,
} from "./admission_types.ts";
import { CallerTable, type CallerUsage } from "./caller_table.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { HoldTimeEstimate } from "./hold_time_estimate.ts";
import { bucketsPerClass, getPriority } from "./priority.ts";
import {
  getObjectiveParameters,
  type ObjectiveParameters,
} from "./objective_parameters.ts";
import { SuspectTurns } from "./suspect_turns.ts";

/** A target counts as idle while fewer calls than this share of its limit run. */
const idleLimitShare = 0.75;
/**
 * Share of the mean hold time that a call must have left to start at an idle
 * target. Hold times vary around their mean, and an idle target has slots to
 * spare for a call that may still finish in time.
 */
const idleHoldTimeShare = 0.25;
/**
 * Share of the slots that it announced that a target has in use at least when it
 * sheds calls because of its load. A target with free slots sheds for another
 * reason, and fewer calls at once would not change that.
 */
const loadShedShare = 0.8;
const runDecision: AdmissionDecision = { kind: "run" };
const queuedDecision: AdmissionDecision = { kind: "queued" };
const noEvents: AdmissionEvent[] = [];

/**
 * Decides which calls run at one target, and in which order. A call runs at
 * once while the concurrency limit allows it; otherwise it waits in a priority
 * queue or is refused.
 */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue;
  readonly #callers: CallerTable;
  readonly #limit: ConcurrencyLimit;
  readonly #level: AdmissionLevel;
  /** Hold time over all classes; estimates how long a call waits. */
  readonly #holdTimeEstimate = new HoldTimeEstimate();
  /**
   * Hold time by class. Without it, calls of a class that takes little time
   * would be refused because calls of another class take long.
   */
  readonly #classHoldTimeEstimates: readonly HoldTimeEstimate[];
  readonly #entries = new Map<string, AdmissionEntry>();
  readonly #runningByClass: Uint32Array;
  /** Class by which the level compares calls, by their own class. */
  readonly #requestClasses: readonly number[];
  #slots: number;
  #areSlotsAnnounced: boolean;
  #callerShare: number;
  #parameters: ObjectiveParameters;
  #running = 0;
  readonly #suspectTurns = new SuspectTurns();
  #isSuspectRunning = false;
  #queuedSuspects = 0;
  #sequence = 0;
  /** Lower bound of the deadlines in the queue; Infinity when it is empty. */
  #earliestDeadline = Infinity;
  #events: AdmissionEvent[] = [];

  /** @param options Slots, classes, objective, caller share and clock. */
  constructor(options: AdmissionOptions) {
    const now = options.clock.monotonicMilliseconds();
    this.#clock = options.clock;
    this.#slots = options.slots;
    this.#areSlotsAnnounced = options.areSlotsAnnounced === true;
    this.#callerShare = options.callerShare;
    this.#parameters = getObjectiveParameters(options.objective);
    this.#queue = new AdmissionQueue(options.classCount);
    this.#callers = new CallerTable(options.classCount);
    this.#runningByClass = new Uint32Array(options.classCount);
    this.#classHoldTimeEstimates = Array.from(
      { length: options.classCount },
      () => new HoldTimeEstimate(),
    );
    const { getRequestClassIndex = (classIndex: number) => classIndex } =
      options;
    this.#requestClasses = Array.from(
      { length: options.classCount },
      (_, classIndex) => getRequestClassIndex(classIndex),
    );
    this.#limit = new ConcurrencyLimit(options.slots, {
      classCount: options.classCount,
      nowMilliseconds: now,
      increasePerSecond: this.#parameters.limitIncreasePerSecond,
      areSlotsAnnounced: options.areSlotsAnnounced,
    });
    this.#level = new AdmissionLevel(options.classCount, {
      nowMilliseconds: now,
      firstPriority: Math.min(...this.#requestClasses) * bucketsPerClass,
      hasNestedClasses: this.#requestClasses.some((requestClass, classIndex) =>
        requestClass !== classIndex
      ),
      ...this.#parameters,
    });
  }

  /**
   * Submits a call.
   * @param request The call; its id must not be in use.
   * @returns Whether it runs, waits or is refused. `takeEvents` reports when a
   * waiting call starts or is refused.
   */
  offer(request: AdmissionRequest): AdmissionDecision {
    if (this.#entries.has(request.id)) {
      throw new Error(`Call "${request.id}" was already offered`);
    }
    const now = this.#clock.monotonicMilliseconds();
    this.#refuseExpired(now);
    this.#level.onOffered(this.#getRequestPriority(request));
    const entry = this.#createEntry(request, now);
    const reason = this.#getRefusalReason(
      entry,
      request.remainingMilliseconds,
      now,
    );
    if (reason !== undefined) {
      this.#callers.deleteIfUnused(entry.callerUsage);
      return { kind: "refused", reason };
    }
    this.#entries.set(entry.id, entry);
    if (this.#queue.length === 0 && this.#canStart(entry)) {
      this.#start(entry, now);
      return runDecision;
    }
    this.#enqueue(entry);
    // A queue of suspects does not mean that there is no free slot.
    if (
      this.#queuedSuspects > 0 && this.#getNextEntry(now) === entry &&
      this.#canStart(entry)
    ) {
      this.#dequeue(entry);
      this.#start(entry, now);
      return runDecision;
    }
    return queuedDecision;
  }

  /**
   * Releases the slot of a running call.
   * @param id The call; one that is not running is ignored.
   * @param outcome How it ended.
   */
  finish(id: string, outcome: CallOutcome): void {
    const entry = this.#entries.get(id);
    if (entry?.startedMilliseconds === undefined) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    this.#recordOutcome(entry, outcome, now);
    this.#entries.delete(id);
    this.#running--;
    this.#runningByClass[entry.classIndex] =
      (this.#runningByClass[entry.classIndex] ?? 0) - 1;
    if (entry.isSuspect) {
      this.#isSuspectRunning = false;
      this.#suspectTurns.onEnded(entry, now);
    }
    entry.callerUsage.running--;
    this.#callers.deleteIfUnused(entry.callerUsage);
    this.#refuseExpired(now);
    this.#startQueued(now);
  }

  /** Removes a queued call whose caller disconnected. */
  cancel(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.startedMilliseconds !== undefined) {
      return;
    }
    this.#dequeue(entry);
    this.#deleteEntry(entry);
    this.#startQueued(this.#clock.monotonicMilliseconds());
  }

  /**
   * Changes whether a queued call must run alone.
   * @param id The call; one that does not wait is ignored.
   * @param isSuspect Whether it is a suspect now.
   */
  setSuspect(id: string, isSuspect: boolean): void {
    const entry = this.#entries.get(id);
    if (
      entry === undefined || entry.startedMilliseconds !== undefined ||
      entry.isSuspect === isSuspect
    ) {
      return;
    }
    // Its place in the queue depends on it.
    this.#dequeue(entry);
    entry.isSuspect = isSuspect;
    this.#enqueue(entry);
    this.#startQueued(this.#clock.monotonicMilliseconds());
  }

  /** Gets and clears the queued calls that started or were refused. */
  takeEvents(): AdmissionEvent[] {
    const now = this.#clock.monotonicMilliseconds();
    if (now >= this.#earliestDeadline) {
      this.#refuseExpired(now);
      this.#startQueued(now);
    }
    if (this.#events.length === 0) {
      return noEvents;
    }
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /**
   * Gets the monotonic time at which `takeEvents` should be called at the
   * latest; `undefined` when no call waits.
   */
  getWakeMilliseconds(): number | undefined {
    return this.#queue.length === 0 ? undefined : this.#earliestDeadline;
  }

  /** Gets the admission level; 0 refuses nothing. */
  getLevel(): number {
    return this.#level.get(
      this.#clock.monotonicMilliseconds(),
      this.#getTargetUsage(),
    );
  }

  /** Changes the options; running calls are not affected. */
  updateOptions(
    options: Pick<
      AdmissionOptions,
      "slots" | "areSlotsAnnounced" | "objective" | "callerShare"
    >,
  ): void {
    this.#slots = options.slots;
    this.#areSlotsAnnounced = options.areSlotsAnnounced === true;
    this.#callerShare = options.callerShare;
    this.#parameters = getObjectiveParameters(options.objective);
    this.#limit.update(options.slots, {
      increasePerSecond: this.#parameters.limitIncreasePerSecond,
      areSlotsAnnounced: options.areSlotsAnnounced,
    });
    this.#level.updateOptions(this.#parameters);
    this.#startQueued(this.#clock.monotonicMilliseconds());
  }

  /** Gets the current state. */
  getStatus(): AdmissionStatus {
    return {
      limit: this.#limit.value,
      running: this.#running,
      queued: this.#queue.length,
      level: this.getLevel(),
    };
  }

  #getTargetUsage(): TargetUsage {
    if (this.#queue.length * 2 > this.#getQueueLimit()) {
      return "queue-half-full";
    }
    return this.#isIdle() ? "idle" : "in-use";
  }

  #isIdle(): boolean {
    return this.#running < idleLimitShare * this.#limit.value;
  }

  #createEntry(request: AdmissionRequest, now: number): AdmissionEntry {
    return {
      id: request.id,
      callerUsage: this.#callers.get(request.caller, request.classIndex),
      classIndex: request.classIndex,
      depth: request.depth,
      hash: request.hash,
      isSuspect: request.isSuspect,
      offeredMilliseconds: now,
      deadlineMilliseconds: now + request.remainingMilliseconds,
      sequence: this.#sequence++,
      startedMilliseconds: undefined,
    };
  }

  #getRefusalReason(
    entry: AdmissionEntry,
    remainingMilliseconds: number,
    now: number,
  ): RefusalReason | undefined {
    if (remainingMilliseconds <= 0) {
      return "deadline-exceeded";
    }
    if (entry.isSuspect && this.#queuedSuspects >= this.#getSuspectLimit()) {
      return "suspect";
    }
    const wait = this.#getExpectedWait(entry);
    if (
      this.#holdTimeEstimate.isFresh(now) &&
      remainingMilliseconds < wait + this.#getExpectedHoldTime(entry, now)
    ) {
      // A call that arrives too late at a target with a free slot is no sign
      // of missing capacity, so it must not raise the admission level.
      if (wait > 0) {
        this.#onCapacityRefusal(entry);
      }
      return "deadline-too-short";
    }
    if (this.#queue.length >= this.#getQueueLimit()) {
      return this.#makeRoom(entry);
    }
    return undefined;
  }

  /**
   * Makes room in a full queue: evicts the least important entry, or refuses
   * the new one if that is less important.
   * @returns Why the new entry is refused; `undefined` when it may wait.
   */
  #makeRoom(entry: AdmissionEntry): RefusalReason | undefined {
    if (this.#queue.length === 0 && this.#canStart(entry)) {
      return undefined;
    }
    const candidate = this.#getEvictionCandidate(entry);
    if (
      (candidate === undefined || candidate.classIndex <= entry.classIndex) &&
      this.#queue.length <
        this.#getQueueLimit() +
          this.#countLessImportantRunning(entry.classIndex)
    ) {
      return undefined;
    }
    const reason = this.#getEvictionRefusalReason(candidate, entry);
    this.#onCapacityRefusal(
      reason === undefined && candidate ? candidate : entry,
    );
    if (reason === undefined && candidate !== undefined) {
      this.#refuse(candidate, "evicted");
    }
    return reason;
  }

  /**
   * Counts the running calls of less important classes. The queue may exceed
   * its limit by this number of calls. Otherwise, a call would be refused while
   * a less important one runs.
   */
  #countLessImportantRunning(classIndex: number): number {
    let running = 0;
    for (let i = classIndex + 1; i < this.#runningByClass.length; i++) {
      running += this.#runningByClass[i] ?? 0;
    }
    return running;
  }

  /**
   * Gets why a new call must not evict a queued one; `undefined` when it may.
   */
  #getEvictionRefusalReason(
    candidate: AdmissionEntry | undefined,
    entry: AdmissionEntry,
  ): RefusalReason | undefined {
    if (candidate === undefined || candidate.classIndex < entry.classIndex) {
      return "queue-full";
    }
    const isOtherCallerOfClass = candidate.classIndex === entry.classIndex &&
      candidate.callerUsage !== entry.callerUsage;
    if (
      isOtherCallerOfClass &&
      this.#hasQueueShare(entry.callerUsage, candidate.callerUsage)
    ) {
      return "caller-share";
    }
    const mustEvict = isOtherCallerOfClass &&
      this.#hasQueueShare(candidate.callerUsage, entry.callerUsage);
    return !mustEvict && compareEntries(candidate, entry) < 0
      ? "queue-full"
      : undefined;
  }

  #onCapacityRefusal(entry: AdmissionEntry): void {
    this.#level.onCapacityRefusal(this.#getRequestPriority(entry));
  }

  /** Gets the priority of the request that a call is part of. */
  #getRequestPriority(
    { classIndex, hash }: Pick<AdmissionRequest, "classIndex" | "hash">,
  ): number {
    return getPriority(this.#requestClasses[classIndex] ?? classIndex, hash);
  }

  /**
   * Gets the entry to evict for a new one: the last entry of the queue. If that
   * has the class of the new entry, the last entry in the class of a caller that
   * has its share of the queue is evicted instead. If the caller of the new entry
   * has its share itself, it is the last of that caller's entries.
   */
  #getEvictionCandidate(entry: AdmissionEntry): AdmissionEntry | undefined {
    const last = this.#queue.at(this.#queue.length - 1);
    if (last?.classIndex !== entry.classIndex) {
      return last;
    }
    const isCallerAtShare = this.#hasQueueShare(entry.callerUsage, undefined);
    const count = this.#queue.getClassCount(last.classIndex);
    for (let i = 1; i <= count; i++) {
      const each = this.#queue.at(this.#queue.length - i);
      const usage = each?.callerUsage;
      if (
        usage !== undefined &&
        (isCallerAtShare
          ? usage === entry.callerUsage
          : usage !== entry.callerUsage &&
            this.#hasQueueShare(usage, entry.callerUsage))
      ) {
        return each;
      }
    }
    return last;
  }

  /**
   * Checks whether a caller has at least its share of the queued calls of a
   * class while other callers wait.
   * @param usage The caller.
   * @param arriving Another caller that is about to enter the queue.
   */
  #hasQueueShare(
    usage: CallerUsage,
    arriving: CallerUsage | undefined,
  ): boolean {
    const count = this.#queue.getClassCount(usage.classIndex);
    const hasOthers = count > usage.queued ||
      (arriving !== undefined && arriving !== usage);
    return hasOthers && usage.queued >= Math.ceil(count * this.#callerShare);
  }

  #exceedsRunningShare(entry: AdmissionEntry): boolean {
    const running = (this.#runningByClass[entry.classIndex] ?? 0) + 1;
    return entry.callerUsage.running + 1 >
      Math.ceil(running * this.#callerShare);
  }

  /** Estimates how long a call holds its slot; 0 without recent samples. */
  #getExpectedHoldTime(entry: AdmissionEntry, now: number): number {
    const holdTime = this.#classHoldTimeEstimates[entry.classIndex];
    if (!holdTime?.isFresh(now)) {
      return 0;
    }
    return this.#isIdle() ? holdTime.mean * idleHoldTimeShare : holdTime.mean;
  }

  #recordHoldTime(
    entry: AdmissionEntry,
    heldMilliseconds: number,
    now: number,
  ): void {
    this.#holdTimeEstimate.record(heldMilliseconds, now);
    this.#classHoldTimeEstimates[entry.classIndex]?.record(
      heldMilliseconds,
      now,
    );
  }

  #getExpectedWait(entry: AdmissionEntry): number {
    if (this.#running < this.#limit.value && this.#queue.length === 0) {
      return 0;
    }
    const ahead = this.#queue.getIndex(entry) + 1;
    return ahead * this.#holdTimeEstimate.mean / this.#limit.value;
  }

  #getQueueLimit(): number {
    return Math.max(1, Math.floor(this.#slots * this.#parameters.queuePerSlot));
  }

  #getSuspectLimit(): number {
    return Math.max(1, this.#slots >> 3);
  }

  #canStart(entry: AdmissionEntry): boolean {
    if (entry.isSuspect) {
      return this.#running === 0;
    }
    return !this.#isSuspectRunning && this.#running < this.#limit.value;
  }

  #enqueue(entry: AdmissionEntry): void {
    this.#queue.insert(entry);
    if (entry.isSuspect) {
      this.#queuedSuspects++;
    }
    if (entry.deadlineMilliseconds < this.#earliestDeadline) {
      this.#earliestDeadline = entry.deadlineMilliseconds;
    }
  }

  #dequeue(entry: AdmissionEntry): void {
    this.#queue.remove(entry);
    if (entry.isSuspect) {
      this.#queuedSuspects--;
    }
  }

  #deleteEntry(entry: AdmissionEntry): void {
    this.#entries.delete(entry.id);
    this.#callers.deleteIfUnused(entry.callerUsage);
    if (entry.isSuspect) {
      this.#suspectTurns.onEnded(entry, this.#clock.monotonicMilliseconds());
    }
  }

  #refuse(entry: AdmissionEntry, reason: RefusalReason): void {
    this.#dequeue(entry);
    this.#deleteEntry(entry);
    this.#events.push({ kind: "refused", id: entry.id, reason });
  }

  #start(entry: AdmissionEntry, now: number): void {
    entry.startedMilliseconds = now;
    entry.callerUsage.running++;
    this.#running++;
    this.#runningByClass[entry.classIndex] =
      (this.#runningByClass[entry.classIndex] ?? 0) + 1;
    if (entry.isSuspect) {
      this.#isSuspectRunning = true;
    }
    if (this.#running >= this.#limit.value) {
      this.#limit.onLimitReached();
    }
  }

  #startQueued(now: number): void {
    while (this.#queue.length > 0) {
      const entry = this.#getNextEntry(now);
      if (entry === undefined || !this.#canStart(entry)) {
        return;
      }
      const remaining = entry.deadlineMilliseconds - now;
      if (remaining < this.#getExpectedHoldTime(entry, now)) {
        this.#onCapacityRefusal(entry);
        this.#refuse(entry, "deadline-too-short");
        continue;
      }
      this.#dequeue(entry);
      this.#start(entry, now);
      this.#events.push({ kind: "run", id: entry.id });
    }
    this.#earliestDeadline = Infinity;
  }

  /**
   * Gets the entry to run next: in the most important class that waits, a
   * suspect whose turn it is, or else the first whose caller is within its share
   * of the running calls, or else the first.
   */
  #getNextEntry(now: number): AdmissionEntry | undefined {
    const first = this.#queue.at(0);
    if (first === undefined) {
      return undefined;
    }
    const suspect = this.#queuedSuspects === 0
      ? undefined
      : this.#suspectTurns.getDue(this.#queue, now);
    if (suspect !== undefined) {
      return suspect;
    }
    const count = this.#queue.getClassCount(first.classIndex);
    for (let i = 0; i < count; i++) {
      const entry = this.#queue.at(i);
      if (entry !== undefined && !this.#exceedsRunningShare(entry)) {
        return entry;
      }
    }
    return first;
  }

  #refuseExpired(now: number): void {
    if (now < this.#earliestDeadline) {
      return;
    }
    let earliest = Infinity;
    for (const entry of [...this.#queue.getEntries()]) {
      if (entry.deadlineMilliseconds <= now) {
        this.#onCapacityRefusal(entry);
        this.#refuse(entry, "deadline-exceeded");
      } else {
        earliest = Math.min(earliest, entry.deadlineMilliseconds);
      }
    }
    this.#earliestDeadline = earliest;
  }

  #recordOutcome(
    entry: AdmissionEntry,
    outcome: CallOutcome,
    now: number,
  ): void {
    const heldMilliseconds = now - (entry.startedMilliseconds ?? now);
    if (outcome.kind === "completed") {
      this.#recordHoldTime(entry, heldMilliseconds, now);
      this.#limit.onCompleted(
        entry.classIndex,
        outcome.serviceMilliseconds,
        now,
      );
    } else if (outcome.kind === "broken") {
      const { serviceMilliseconds } = outcome;
      this.#limit.onBroken(entry.classIndex, serviceMilliseconds, now);
    } else if (outcome.kind === "shed") {
      if (
        !this.#areSlotsAnnounced || this.#running >= loadShedShare * this.#slots
      ) {
        this.#limit.onOverload(now);
      }
    } else if (outcome.kind !== "cancelled") {
      this.#limit.onOverload(now);
    } else if (
      heldMilliseconds >
        (this.#classHoldTimeEstimates[entry.classIndex]?.mean ?? 0)
    ) {
      // A cancelled call shows only a lower bound of its hold time, so it
      // counts only when that bound exceeds the mean.
      this.#recordHoldTime(entry, heldMilliseconds, now);
    }
  }
}
