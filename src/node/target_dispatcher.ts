import { AdmissionController, type AdmissionStatus } from "../admission/mod.ts";
import type { Service } from "../document/mod.ts";
import type { LoadHint, RefusalReason, ServiceLevel } from "../request/mod.ts";
import type { Endpoint } from "../settings/mod.ts";
import type { CrashReport } from "../suspects/mod.ts";
import { AnnouncedTarget, type TargetState } from "./announced_target.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { CrashDetector } from "./crash_detector.ts";
import type { NodeState } from "./node_state.ts";
import type { TargetCall } from "./target_call.ts";

/** Settings of a {@link TargetDispatcher}. */
export interface TargetDispatcherOptions {
  /** Called when the target's state or incarnation changed. */
  onTargetChange(): void;
  /** Called when the target died. */
  onCrash(report: CrashReport): void;
  /** Called when a suspect completed. */
  onSuspectCleared(fingerprint: string): void;
}

const noLevels: readonly ServiceLevel[] = [];

/** Admits calls to the target beside this node and runs them. */
export class TargetDispatcher {
  readonly target: AnnouncedTarget;
  readonly crashDetector: CrashDetector;
  readonly #state: NodeState;
  readonly #options: TargetDispatcherOptions;
  /** Queued and running calls by their token. */
  readonly #calls = new Map<string, TargetCall>();
  /** The same calls by the identity of their request. */
  readonly #callsByRequest = new Map<string, TargetCall>();
  #controller: AdmissionController | undefined;
  #classCount = 0;
  #pool: ConnectionPool | undefined;
  #poolIncarnation = 0;
  #timer: NodeJS.Timeout | undefined;
  #timerDueMilliseconds = Infinity;

  /**
   * @param state What the parts of the node share.
   * @param options Listeners.
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
      onCrash: (fingerprints, wasAlone) => {
        const report = state.suspects.onCrash(fingerprints, wasAlone);
        state.log.error("target died", {
          inFlight: fingerprints.length,
          alone: report.wasAlone,
        });
        this.target.onCrash();
        this.#options.onCrash(report);
      },
    });
  }

  /** Gets the number of queued and running calls. */
  get callCount(): number {
    return this.#calls.size;
  }

  /** Gets the call that a target names in its outgoing calls. */
  getCall(token: string): TargetCall | undefined {
    return this.#calls.get(token);
  }

  /** Gets the call that was admitted last for a request. */
  getCallOfRequest(requestId: string): TargetCall | undefined {
    return this.#callsByRequest.get(requestId);
  }

  /** Applies the document in force. */
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
        slots: this.#getSlots(service),
        classCount: classes.length,
        objective,
        callerShare,
        clock,
      });
      // Calls of the former controller are told nothing by the new one.
      for (const call of [...this.#calls.values()]) {
        call.refuseIfQueued("evicted");
      }
    } else {
      this.#controller.updateOptions({
        slots: this.#getSlots(service),
        objective,
        callerShare,
      });
    }
    this.#pool?.setLimit(service.connections);
    this.#applyAdmissionEvents();
  }

  /** Takes a call: runs it, queues it or refuses it. */
  admit(call: TargetCall): void {
    const refusal = this.#getRefusal();
    if (refusal !== undefined) {
      call.refuse(refusal);
      return;
    }
    const { suspects, clock } = this.#state;
    let isSuspect = false;
    if (!suspects.isEmpty) {
      const fingerprint = call.getFingerprint();
      if (suspects.isQuarantined(fingerprint)) {
        call.refuse("quarantined");
        return;
      }
      isSuspect = suspects.isSuspect(fingerprint);
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

  /** Gives the slot of a running call back. */
  onCallFinished(
    call: TargetCall,
    sample: Parameters<AdmissionController["finish"]>[1],
  ): void {
    this.#removeCall(call);
    this.#controller?.finish(call.token, sample);
    this.#applyAdmissionEvents();
  }

  /** Forgets a queued call. */
  onCallCancelled(call: TargetCall): void {
    this.#removeCall(call);
    this.#controller?.cancel(call.token);
    this.#applyAdmissionEvents();
  }

  /** Records that a suspect completed. */
  onSuspectCompleted(fingerprint: string): void {
    if (this.#state.suspects.onCompleted(fingerprint)) {
      this.#options.onSuspectCleared(fingerprint);
    }
  }

  /** Gets why a call that was admitted must not be dispatched any more. */
  getDispatchRefusal(): RefusalReason | undefined {
    const { state } = this.target;
    return state === "ready" || state === "draining" ? undefined : "no-target";
  }

  /** Gets the connections to the target; it must have been announced. */
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

  /** Gets the level of the node's own service when it is not open. */
  getLevels(): readonly ServiceLevel[] {
    const level = this.#controller?.getLevel() ?? 0;
    return level === 0
      ? noLevels
      : [{ service: this.#state.settings.service, level }];
  }

  /** Gets the load for the nodes that call. */
  getLoad(): LoadHint | undefined {
    const status = this.#controller?.getStatus();
    return status && {
      running: status.running,
      queued: status.queued,
      limit: Math.round(status.limit),
    };
  }

  /** Gets the state of admission; `undefined` before the first document. */
  getStatus(): AdmissionStatus | undefined {
    return this.#controller?.getStatus();
  }

  /** Stops timers and closes idle connections. */
  stop(): void {
    clearTimeout(this.#timer);
    this.target.stop();
    this.#pool?.close();
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
    const { state } = this.target;
    if (state === "draining" || state === "left") {
      return "target-draining";
    }
    return state !== "ready" || this.#controller === undefined
      ? "no-target"
      : undefined;
  }

  #getSlots(service: Service): number {
    return this.target.announcement?.slots ?? service.slots;
  }

  #createPool(endpoint: Endpoint): ConnectionPool {
    const { view, settings } = this.#state;
    const service = view?.document.services.get(settings.service);
    return new ConnectionPool({
      ...endpoint,
      limit: service?.connections ?? 1,
    });
  }

  #onTargetChange(previous: TargetState): void {
    const { state, announcement, sequence } = this.target;
    this.#state.log.info("target changed", {
      state,
      previous,
      address: announcement &&
        `${announcement.endpoint.host}:${announcement.endpoint.port}`,
      incarnation: announcement?.incarnation,
    });
    if (state === "ready" && sequence > 1) {
      this.crashDetector.onNewIncarnation();
    }
    if (state === "ready") {
      this.updateDocument();
    } else if (previous === "ready") {
      // Another target can take them now; here they would wait in vain.
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
