import { AdmissionController, type AdmissionStatus } from "../admission/mod.ts";
import type { Service } from "../document/mod.ts";
import type { LoadHint, RefusalReason, ServiceLevel } from "../request/mod.ts";
import type { Endpoint } from "../settings/mod.ts";
import type { CrashReport } from "../suspects/mod.ts";
import { AnnouncedTarget, type LocalTargetState } from "./announced_target.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { CrashDetector } from "./crash_detector.ts";
import { MeanServiceTime } from "./mean_service_time.ts";
import type { NodeState } from "./node_state.ts";
import type { TargetCall } from "./target_call.ts";

/** Settings of a {@link TargetDispatcher}. */
export interface TargetDispatcherOptions {
  /** Called after the state or the incarnation of the target changed. */
  onTargetChange(): void;
  /** Called after the target crashed. */
  onCrash(report: CrashReport): void;
  /** Called when a request that was suspected of crashing targets completed. */
  onSuspectCleared(fingerprint: string): void;
}

const noLevels: readonly ServiceLevel[] = [];

/**
 * Admits calls to the local target, which is the one that this node serves, and
 * sends them to it.
 */
export class TargetDispatcher {
  readonly target: AnnouncedTarget;
  readonly crashDetector: CrashDetector;
  readonly #state: NodeState;
  readonly #options: TargetDispatcherOptions;
  /** Queued and running calls by token. */
  readonly #calls = new Map<string, TargetCall>();
  /** Queued and running calls by request ID. */
  readonly #callsByRequest = new Map<string, TargetCall>();
  readonly #meanServiceTime = new MeanServiceTime();
  #controller: AdmissionController | undefined;
  #classCount = 0;
  #pool: ConnectionPool | undefined;
  /** Incarnation of the target that was ready last. */
  #readyIncarnation: number | undefined;
  #poolIncarnation = 0;
  #timer: NodeJS.Timeout | undefined;
  #timerDueMilliseconds = Infinity;

  /**
   * @param state State that the components of the node share.
   * @param options Listeners for changes of the target.
   */
  constructor(state: NodeState, options: TargetDispatcherOptions) {
    this.#state = state;
    this.#options = options;
    this.target = new AnnouncedTarget({
      clock: state.clock,
      leaseMilliseconds: state.settings.targetLeaseMilliseconds,
      onChange: (previous) => this.#onTargetChange(previous),
    });
    this.crashDetector = new CrashDetector({
      clock: state.clock,
      getEndpoint: () => this.target.announcement?.endpoint,
      onCrash: ({ calls, wasAlone, incarnation }) => {
        const report = state.suspects.onCrash(calls, wasAlone);
        state.log.error("target crashed", {
          inFlight: calls.length,
          alone: report.wasAlone,
          // Only the one of a call that ran alone is evidence by itself.
          fingerprint: report.wasAlone ? report.fingerprints.at(-1) : undefined,
          crashed: incarnation,
        });
        if (incarnation === "current") {
          this.target.onCrash();
        }
        this.#options.onCrash(report);
      },
    });
  }

  /** Gets the queued and running calls. */
  get calls(): Iterable<TargetCall> {
    return this.#calls.values();
  }

  /** Gets the number of queued and running calls. */
  get callCount(): number {
    return this.#calls.size;
  }

  /** Gets the call whose token the target sent with an outgoing call. */
  getCall(token: string): TargetCall | undefined {
    return this.#calls.get(token);
  }

  /** Gets the most recently admitted call of a request. */
  getCallOfRequest(requestId: string): TargetCall | undefined {
    return this.#callsByRequest.get(requestId);
  }

  /** Applies the document that is in force now. */
  updateDocument(): void {
    const { view, settings, clock } = this.#state;
    const service = view?.document.services.get(settings.service);
    if (view === undefined || service === undefined) {
      return;
    }
    const { objective, callerShare, classes } = view.document;
    if (
      this.#controller === undefined || this.#classCount !== classes.length
    ) {
      this.#classCount = classes.length;
      this.#controller = new AdmissionController({
        ...this.#getSlots(service),
        classCount: classes.length,
        objective,
        callerShare,
        clock,
        getRequestClassIndex: this.#state.protocol.getRequestClassIndex,
      });
      // The new controller does not know the calls in the queue of the former
      // one and would never run them.
      for (const call of [...this.#calls.values()]) {
        call.refuseIfQueued("evicted");
      }
    } else {
      this.#controller.updateOptions({
        ...this.#getSlots(service),
        objective,
        callerShare,
      });
    }
    this.#pool?.setLimit(service.connections);
    this.#applyAdmissionEvents();
  }

  /** Runs, queues or refuses a call. */
  admit(call: TargetCall): void {
    const refusal = this.#getRefusal();
    if (refusal !== undefined) {
      call.refuse(refusal);
      return;
    }
    const { suspects, clock } = this.#state;
    let isSuspect = false;
    if (!suspects.isEmpty) {
      const fingerprints = call.getFingerprints();
      if (suspects.isQuarantined(fingerprints)) {
        call.refuse("quarantined");
        return;
      }
      isSuspect = suspects.isSuspect(fingerprints);
    }
    call.isSuspect = isSuspect;
    const { details } = call;
    const controller = this.#controller as AdmissionController;
    const decision = controller.offer({
      id: call.token,
      caller: details.caller,
      classIndex: details.classIndex,
      depth: details.depth,
      hash: details.hash,
      remainingMilliseconds: details.deadlineMilliseconds -
        clock.monotonicMilliseconds(),
      isSuspect,
    });
    if (decision.kind === "refused") {
      call.refuse(decision.reason);
    } else {
      this.#calls.set(call.token, call);
      this.#callsByRequest.set(details.requestId, call);
      call.recordAdmission(decision.kind);
      if (decision.kind === "run") {
        call.start();
      }
    }
    this.#applyAdmissionEvents();
  }

  /** Frees the slot of a running call that ended. */
  onCallFinished(
    call: TargetCall,
    outcome: Parameters<AdmissionController["finish"]>[1],
  ): void {
    this.#removeCall(call);
    this.#controller?.finish(call.token, outcome);
    this.#recordServiceTime(outcome);
    this.#applyAdmissionEvents();
  }

  /** Removes a queued call that was cancelled. */
  onCallCancelled(call: TargetCall): void {
    this.#removeCall(call);
    this.#controller?.cancel(call.token);
    this.#applyAdmissionEvents();
  }

  /**
   * Records that a call completed without a crash. It also clears a suspect if it
   * started before the crash that made the request one.
   */
  onCallCompleted(call: TargetCall): void {
    const { suspects, log } = this.#state;
    if (suspects.isEmpty) {
      return;
    }
    const cleared = suspects.onCompleted(call.getFingerprints());
    for (const fingerprint of cleared) {
      log.info("suspect cleared", {
        fingerprint,
        requestId: call.details.requestId,
      });
      this.#options.onSuspectCleared(fingerprint);
    }
    if (cleared.length > 0) {
      this.onSuspectsChanged();
    }
  }

  /**
   * Applies a change of the suspects to the queued calls: those in quarantine are
   * refused, and only suspects run alone.
   */
  onSuspectsChanged(): void {
    const { suspects } = this.#state;
    for (const call of [...this.#calls.values()]) {
      if (!call.isQueued) {
        continue;
      }
      const fingerprints = call.getFingerprints();
      if (suspects.isQuarantined(fingerprints)) {
        call.refuseIfQueued("quarantined");
        continue;
      }
      call.isSuspect = suspects.isSuspect(fingerprints);
      this.#controller?.setSuspect(call.token, call.isSuspect);
    }
    this.#applyAdmissionEvents();
  }

  /**
   * Gets the reason why an admitted call must no longer be dispatched, or
   * `undefined` when it can be.
   */
  getDispatchRefusal(): RefusalReason | undefined {
    this.target.checkLease();
    const { state } = this.target;
    return state === "ready" || state === "draining" ? undefined : "no-target";
  }

  /**
   * Gets the connections to the current incarnation of the target.
   * @throws When no target was announced.
   */
  getPool(): ConnectionPool {
    const { announcement } = this.target;
    if (announcement === undefined) {
      throw new Error("No target was announced");
    }
    if (
      this.#pool === undefined ||
      this.#poolIncarnation !== announcement.incarnation
    ) {
      this.#pool?.close();
      this.#pool = this.#createPool(announcement.endpoint);
      this.#poolIncarnation = announcement.incarnation;
    }
    return this.#pool;
  }

  /** Gets the admission level of the node's service; empty when it is 0. */
  getLevels(): readonly ServiceLevel[] {
    const level = this.#controller?.getLevel() ?? 0;
    return level === 0
      ? noLevels
      : [{ service: this.#state.settings.service, level }];
  }

  /** Gets the load of the target, which is reported to calling nodes. */
  getLoad(): LoadHint | undefined {
    const status = this.#controller?.getStatus();
    return status && {
      running: status.running,
      queued: status.queued,
      limit: Math.round(status.limit),
      serviceMilliseconds: this.#meanServiceTime.milliseconds,
    };
  }

  /** Gets the status of admission; `undefined` before the first document. */
  getStatus(): AdmissionStatus | undefined {
    return this.#controller?.getStatus();
  }

  /** Stops timers and closes idle connections. */
  stop(): void {
    clearTimeout(this.#timer);
    this.target.stop();
    this.#pool?.close();
  }

  #recordServiceTime(
    outcome: Parameters<AdmissionController["finish"]>[1],
  ): void {
    const now = this.#state.clock.monotonicMilliseconds();
    if (outcome.kind === "completed") {
      this.#meanServiceTime.record(outcome.serviceMilliseconds, now);
    } else if (outcome.kind === "cancelled") {
      this.#meanServiceTime.recordCancelled(outcome.serviceMilliseconds, now);
    }
  }

  #removeCall(call: TargetCall): void {
    this.#calls.delete(call.token);
    const { requestId } = call.details;
    if (this.#callsByRequest.get(requestId) === call) {
      this.#callsByRequest.delete(requestId);
    }
  }

  #getRefusal(): RefusalReason | undefined {
    if (this.#state.isStopping) {
      return "stopping";
    }
    this.target.checkLease();
    const { state } = this.target;
    if (state === "draining" || state === "left") {
      return "target-draining";
    }
    return state !== "ready" || this.#controller === undefined
      ? "no-target"
      : undefined;
  }

  #getSlots(
    service: Service,
  ): { slots: number; areSlotsAnnounced: boolean } {
    const slots = this.target.announcement?.slots;
    return slots === undefined
      ? { slots: service.slots, areSlotsAnnounced: false }
      : { slots, areSlotsAnnounced: true };
  }

  #createPool(endpoint: Endpoint): ConnectionPool {
    const { view, settings } = this.#state;
    const service = view?.document.services.get(settings.service);
    return new ConnectionPool({
      ...endpoint,
      limit: service?.connections ?? 1,
    });
  }

  #onTargetChange(previous: LocalTargetState): void {
    const { state, announcement } = this.target;
    this.#state.log.info("target changed", {
      state,
      previous,
      address: announcement &&
        `${announcement.endpoint.host}:${announcement.endpoint.port}`,
      incarnation: announcement?.incarnation,
    });
    if (
      state === "ready" && announcement?.incarnation !== this.#readyIncarnation
    ) {
      this.#readyIncarnation = announcement?.incarnation;
      this.crashDetector.onNewIncarnation();
      this.#meanServiceTime.reset();
    }
    if (state === "ready") {
      this.updateDocument();
    } else if (previous === "ready") {
      // This target does not take queued calls any more, but another one may.
      for (const call of [...this.#calls.values()]) {
        call.refuseIfQueued(
          state === "draining" ? "target-draining" : "no-target",
        );
      }
    }
    this.#options.onTargetChange();
  }

  #applyAdmissionEvents(): void {
    const controller = this.#controller;
    if (controller === undefined) {
      return;
    }
    let events = controller.takeEvents();
    while (events.length > 0) {
      for (const event of events) {
        const call = this.#calls.get(event.id);
        if (event.kind === "run") {
          call?.start();
        } else {
          if (call !== undefined) {
            this.#removeCall(call);
            call.refuse(event.reason);
          }
        }
      }
      events = controller.takeEvents();
    }
    this.#scheduleTimer(controller.getWakeMilliseconds());
  }

  #scheduleTimer(at: number | undefined): void {
    if (at === undefined || at >= this.#timerDueMilliseconds) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timerDueMilliseconds = at;
    const delay = at - this.#state.clock.monotonicMilliseconds();
    this.#timer = setTimeout(() => {
      this.#timerDueMilliseconds = Infinity;
      this.#applyAdmissionEvents();
    }, Math.max(1, Math.ceil(delay)));
    this.#timer.unref();
  }
}
