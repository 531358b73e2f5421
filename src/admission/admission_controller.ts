import type { Clock } from "../common/mod.ts";
import type { Objective } from "../document/mod.ts";
import type { RefusalReason } from "../request/mod.ts";
import { AdmissionLevel, type TargetUse } from "./admission_level.ts";
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
import { CallerTable, type CallerUse } from "./caller_table.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { HoldTime } from "./hold_time.ts";
import { getPriority } from "./priority.ts";
import {
  getObjectiveParameters,
  type ObjectiveParameters,
} from "./objective_parameters.ts";

/** Part of the limit below which a target counts as idle. */
const idleLoad = 0.75;
/**
 * Part of the expected time that a call needs at an idle target. Hold times
 * vary around their mean, and an idle target loses nothing by trying.
 */
const idleHoldPart = 0.25;
const runDecision: AdmissionDecision = { kind: "run" };
const queuedDecision: AdmissionDecision = { kind: "queued" };
const noEvents: AdmissionEvent[] = [];

/** Decides which calls run at one target, and in which order. */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue;
  readonly #callers: CallerTable;
  readonly #limit: ConcurrencyLimit;
  readonly #level: AdmissionLevel;
  /** Of all classes, for the time that a call waits. */
  readonly #holdTime = new HoldTime();
  /** By class: a short call must not be refused because others take long. */
  readonly #classHoldTimes: readonly HoldTime[];
  readonly #entries = new Map<string, AdmissionEntry>();
  readonly #runningByClass: Uint32Array;
  #slots: number;
  #callerShare: number;
  #parameters: ObjectiveParameters;
  #running = 0;
  #suspectRuns = false;
  #queuedSuspects = 0;
  #sequence = 0;
  /** No queued deadline is earlier; Infinity when none is queued. */
  #earliestDeadline = Infinity;
  #events: AdmissionEvent[] = [];

  /** @param options Slots, classes, objective, caller share and clock. */
  constructor(options: AdmissionOptions) {
    const now = options.clock.monotonicMilliseconds();
    this.#clock = options.clock;
    this.#slots = options.slots;
    this.#callerShare = options.callerShare;
    this.#parameters = getObjectiveParameters(options.objective);
    this.#queue = new AdmissionQueue(options.classCount);
    this.#callers = new CallerTable(options.classCount);
    this.#runningByClass = new Uint32Array(options.classCount);
    this.#classHoldTimes = Array.from(
      { length: options.classCount },
      () => new HoldTime(),
    );
    this.#limit = new ConcurrencyLimit(options.slots, {
      classCount: options.classCount,
      nowMilliseconds: now,
      increasePerSecond: this.#parameters.limitIncreasePerSecond,
    });
    this.#level = new AdmissionLevel(options.classCount, {
      nowMilliseconds: now,
      ...this.#parameters,
    });
  }

  /**
   * Offers a call.
   * @param request The call; its id must not be in use.
   * @returns Whether it runs, waits or is refused. What becomes of a waiting
   * call is told by `takeEvents`.
   */
  offer(request: AdmissionRequest): AdmissionDecision {
    if (this.#entries.has(request.id)) {
      throw new Error(`Call "${request.id}" was already offered`);
    }
    const now = this.#clock.monotonicMilliseconds();
    this.#expire(now);
    this.#level.onOffered(getPriority(request.classIndex, request.hash));
    const entry = this.#createEntry(request, now);
    const reason = this.#getRefusal(entry, request.remainingMilliseconds, now);
    if (reason !== undefined) {
      this.#callers.releaseWhenUnused(entry.use);
      return { kind: "refused", reason };
    }
    this.#entries.set(entry.id, entry);
    if (this.#queue.length === 0 && this.#hasRoomFor(entry)) {
      this.#start(entry, now);
      return runDecision;
    }
    this.#enqueue(entry);
    return queuedDecision;
  }

  /**
   * Ends a running call and gives its slot back.
   * @param id The call; one that does not run is ignored.
   * @param sample How it ended.
   */
  finish(id: string, sample: CallOutcome): void {
    const entry = this.#entries.get(id);
    if (entry?.startedMilliseconds === undefined) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    this.#recordSample(entry, sample, now);
    this.#entries.delete(id);
    this.#running--;
    this.#runningByClass[entry.classIndex] =
      (this.#runningByClass[entry.classIndex] ?? 0) - 1;
    if (entry.isSuspect) {
      this.#suspectRuns = false;
    }
    entry.use.running--;
    this.#callers.releaseWhenUnused(entry.use);
    this.#expire(now);
    this.#startQueued(now);
  }

  /** Removes a queued call whose caller left. */
  cancel(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.startedMilliseconds !== undefined) {
      return;
    }
    this.#dequeue(entry);
    this.#forget(entry);
    this.#startQueued(this.#clock.monotonicMilliseconds());
  }

  /** Gets what became of queued calls since the last time. */
  takeEvents(): AdmissionEvent[] {
    const now = this.#clock.monotonicMilliseconds();
    if (now >= this.#earliestDeadline) {
      this.#expire(now);
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

  /** Gets the admission level; 0 is open. */
  getLevel(): number {
    return this.#level.get(
      this.#clock.monotonicMilliseconds(),
      this.#getUse(),
    );
  }

  /** Changes the options; running calls go on. */
  updateOptions(
    options: { slots: number; objective: Objective; callerShare: number },
  ): void {
    this.#slots = options.slots;
    this.#callerShare = options.callerShare;
    this.#parameters = getObjectiveParameters(options.objective);
    this.#limit.update(
      options.slots,
      this.#parameters.limitIncreasePerSecond,
    );
    this.#level.setSpeed(this.#parameters);
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

  #getUse(): TargetUse {
    if (this.#queue.length * 2 > this.#getQueueLimit()) {
      return "queue-half-full";
    }
    return this.#isIdle() ? "idle" : "in-use";
  }

  #isIdle(): boolean {
    return this.#running < idleLoad * this.#limit.value;
  }

  #createEntry(request: AdmissionRequest, now: number): AdmissionEntry {
    return {
      id: request.id,
      use: this.#callers.get(request.caller, request.classIndex),
      classIndex: request.classIndex,
      depth: request.depth,
      hash: request.hash,
      isSuspect: request.isSuspect,
      deadlineMilliseconds: now + request.remainingMilliseconds,
      sequence: this.#sequence++,
      startedMilliseconds: undefined,
    };
  }

  #getRefusal(
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
      this.#holdTime.isFresh(now) &&
      remainingMilliseconds < wait + this.#getExpectedHold(entry, now)
    ) {
      // A call that comes too late to a free target says nothing about it.
      if (wait > 0) {
        this.#onTurnedAway(entry);
      }
      return "deadline-too-short";
    }
    if (this.#queue.length >= this.#getQueueLimit()) {
      return this.#makeRoom(entry);
    }
    return undefined;
  }

  /** Evicts the lowest entry, or refuses the new one when that is lower. */
  #makeRoom(entry: AdmissionEntry): RefusalReason | undefined {
    if (this.#queue.length === 0 && this.#hasRoomFor(entry)) {
      return undefined;
    }
    const victim = this.#getVictim(entry);
    if (
      (victim === undefined || victim.classIndex <= entry.classIndex) &&
      this.#queue.length <
        this.#getQueueLimit() + this.#getLowerRunning(entry.classIndex)
    ) {
      return undefined;
    }
    const reason = this.#getPrecedence(victim, entry);
    this.#onTurnedAway(reason === undefined && victim ? victim : entry);
    if (reason === undefined && victim !== undefined) {
      this.#refuse(victim, "evicted");
    }
    return reason;
  }

  /**
   * Counts the running calls of less important classes. As many calls may wait
   * beyond the limit of the queue, or a call would be refused while a less
   * important one runs.
   */
  #getLowerRunning(classIndex: number): number {
    let running = 0;
    for (let i = classIndex + 1; i < this.#runningByClass.length; i++) {
      running += this.#runningByClass[i] ?? 0;
    }
    return running;
  }

  /** Gets why a new call does not take the place of a queued one. */
  #getPrecedence(
    victim: AdmissionEntry | undefined,
    entry: AdmissionEntry,
  ): RefusalReason | undefined {
    if (victim === undefined || victim.classIndex < entry.classIndex) {
      return "queue-full";
    }
    const isShared = victim.classIndex === entry.classIndex &&
      victim.use !== entry.use;
    if (isShared && this.#isOverQueueShare(entry.use, victim.use)) {
      return "caller-share";
    }
    const isForced = isShared && this.#isOverQueueShare(victim.use, entry.use);
    return !isForced && compareEntries(victim, entry) < 0
      ? "queue-full"
      : undefined;
  }

  #onTurnedAway(entry: AdmissionEntry): void {
    this.#level.onTurnedAway(getPriority(entry.classIndex, entry.hash));
  }

  /**
   * Gets the entry to evict: of the least important class that waits, the
   * lowest entry of a caller above its share, or else the lowest. A new call
   * of a caller above its share can only take the place of the caller's own.
   */
  #getVictim(entry: AdmissionEntry): AdmissionEntry | undefined {
    const last = this.#queue.at(this.#queue.length - 1);
    if (last?.classIndex !== entry.classIndex) {
      return last;
    }
    const isOver = this.#isOverQueueShare(entry.use, undefined);
    const count = this.#queue.getClassCount(last.classIndex);
    for (let i = 1; i <= count; i++) {
      const each = this.#queue.at(this.#queue.length - i);
      const use = each?.use;
      if (
        use !== undefined &&
        (isOver
          ? use === entry.use
          : use !== entry.use && this.#isOverQueueShare(use, entry.use))
      ) {
        return each;
      }
    }
    return last;
  }

  /**
   * Checks whether a caller has its share of the queued calls of a class while
   * others wait.
   * @param use The caller.
   * @param arriving A caller that is about to wait too.
   */
  #isOverQueueShare(use: CallerUse, arriving: CallerUse | undefined): boolean {
    const count = this.#queue.getClassCount(use.classIndex);
    const hasOthers = count > use.queued ||
      (arriving !== undefined && arriving !== use);
    return hasOthers && use.queued >= Math.ceil(count * this.#callerShare);
  }

  #isOverRunningShare(entry: AdmissionEntry): boolean {
    const running = (this.#runningByClass[entry.classIndex] ?? 0) + 1;
    return entry.use.running + 1 > Math.ceil(running * this.#callerShare);
  }

  /** Gets how long a call holds its slot; 0 when nothing recent is known. */
  #getExpectedHold(entry: AdmissionEntry, now: number): number {
    const holdTime = this.#classHoldTimes[entry.classIndex];
    if (!holdTime?.isFresh(now)) {
      return 0;
    }
    return this.#isIdle() ? holdTime.mean * idleHoldPart : holdTime.mean;
  }

  #recordHold(entry: AdmissionEntry, held: number, now: number): void {
    this.#holdTime.record(held, now);
    this.#classHoldTimes[entry.classIndex]?.record(held, now);
  }

  #getExpectedWait(entry: AdmissionEntry): number {
    if (this.#running < this.#limit.value && this.#queue.length === 0) {
      return 0;
    }
    const ahead = this.#queue.getIndex(entry) + 1;
    return ahead * this.#holdTime.mean / this.#limit.value;
  }

  #getQueueLimit(): number {
    return Math.max(1, Math.floor(this.#slots * this.#parameters.queuePerSlot));
  }

  #getSuspectLimit(): number {
    return Math.max(1, this.#slots >> 3);
  }

  #hasRoomFor(entry: AdmissionEntry): boolean {
    if (entry.isSuspect) {
      return this.#running === 0;
    }
    return !this.#suspectRuns && this.#running < this.#limit.value;
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

  #forget(entry: AdmissionEntry): void {
    this.#entries.delete(entry.id);
    this.#callers.releaseWhenUnused(entry.use);
  }

  #refuse(entry: AdmissionEntry, reason: RefusalReason): void {
    this.#dequeue(entry);
    this.#forget(entry);
    this.#events.push({ kind: "refused", id: entry.id, reason });
  }

  #start(entry: AdmissionEntry, now: number): void {
    entry.startedMilliseconds = now;
    entry.use.running++;
    this.#running++;
    this.#runningByClass[entry.classIndex] =
      (this.#runningByClass[entry.classIndex] ?? 0) + 1;
    if (entry.isSuspect) {
      this.#suspectRuns = true;
    }
    if (this.#running >= this.#limit.value) {
      this.#limit.onInUse();
    }
  }

  #startQueued(now: number): void {
    while (this.#queue.length > 0) {
      const entry = this.#getNext();
      if (entry === undefined || !this.#hasRoomFor(entry)) {
        return;
      }
      const remaining = entry.deadlineMilliseconds - now;
      if (remaining < this.#getExpectedHold(entry, now)) {
        this.#onTurnedAway(entry);
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
   * Gets the entry to run next: of the most important class that waits, the
   * first whose caller is within its share, or else the first.
   */
  #getNext(): AdmissionEntry | undefined {
    const first = this.#queue.at(0);
    if (first === undefined) {
      return undefined;
    }
    const count = this.#queue.getClassCount(first.classIndex);
    for (let i = 0; i < count; i++) {
      const entry = this.#queue.at(i);
      if (entry !== undefined && !this.#isOverRunningShare(entry)) {
        return entry;
      }
    }
    return first;
  }

  #expire(now: number): void {
    if (now < this.#earliestDeadline) {
      return;
    }
    let earliest = Infinity;
    for (const entry of [...this.#queue.getEntries()]) {
      if (entry.deadlineMilliseconds <= now) {
        this.#onTurnedAway(entry);
        this.#refuse(entry, "deadline-exceeded");
      } else {
        earliest = Math.min(earliest, entry.deadlineMilliseconds);
      }
    }
    this.#earliestDeadline = earliest;
  }

  #recordSample(
    entry: AdmissionEntry,
    sample: CallOutcome,
    now: number,
  ): void {
    const held = now - (entry.startedMilliseconds ?? now);
    if (sample.kind === "completed") {
      this.#recordHold(entry, held, now);
      this.#limit.onCompleted(
        entry.classIndex,
        sample.serviceMilliseconds,
        now,
      );
    } else if (sample.kind !== "cancelled") {
      this.#limit.onOverload(now);
    } else if (held > (this.#classHoldTimes[entry.classIndex]?.mean ?? 0)) {
      // A cancelled call would have held its slot at least this long.
      this.#recordHold(entry, held, now);
    }
  }
}
