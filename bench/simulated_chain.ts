import {
  AdmissionController,
  type AdmissionRequest,
  getPriority,
  LevelTable,
} from "../src/admission/mod.ts";
import { createSeededRandom, getStableHash } from "../src/common/mod.ts";
import type { Objective } from "../src/document/mod.ts";
import type { RefusalReason } from "../src/request/mod.ts";
import {
  AllowanceAccount,
  decideRetry,
  RefusalRate,
  RetryThrottle,
} from "../src/retries/mod.ts";
import { Router } from "../src/routing/mod.ts";
import { VirtualTimeScheduler } from "./virtual_time_scheduler.ts";
import { FixedConcurrencyLimiter } from "./fixed_concurrency_limiter.ts";

/** Control of a run: an objective, or one of two baselines. */
export type SimulationMode = Objective | "pass-through" | "fixed-limit";

const targetsPerService = 6;
const hopMilliseconds = 0.5;

/** The chain, first called first; sizes as of the strike fund. */
const services = [
  { name: "portal", slots: 36, connections: 300, milliseconds: 4 },
  { name: "treasury", slots: 36, connections: 300, milliseconds: 6 },
  { name: "registry", slots: 10, connections: 160, milliseconds: 10 },
] as const;
const deepest = services.length - 1;
const reachedServices = services.map(({ name }) => name);

/** Whole requests per second that the deepest service can complete. */
export const capacityRequestsPerSecond = targetsPerService * 10 / 0.01;

/** Deadline, allowance and share of the demand by class. */
export const classes = [
  { name: "transfer", deadline: 4000, allowance: 12, part: 0.2 },
  { name: "sheet", deadline: 3000, allowance: 10, part: 0.3 },
  { name: "balance", deadline: 1500, allowance: 8, part: 0.5 },
] as const;

/** How a call ended; `unused` is what remains of its allowance. */
interface Result {
  readonly kind: "ok" | "refused" | "failed";
  readonly reason?: RefusalReason;
  readonly unused: number;
  readonly levels: readonly { service: string; level: number }[];
}

interface Call {
  readonly request: AdmissionRequest;
  readonly deadline: number;
  readonly account: AllowanceAccount;
  readonly respond: (result: Result) => void;
  state: "waiting" | "running" | "done";
  startedAt: number;
  /** Time spent waiting for the next service. */
  awayMilliseconds: number;
  child?: { node: SimulatedNode; call: Call } | undefined;
}

/** One target with its node. */
class SimulatedNode {
  readonly #chain: SimulatedChain;
  readonly #index: number;
  /** Position among the targets of the service. */
  readonly #position: number;
  readonly #service: (typeof services)[number];
  readonly #gate: AdmissionController | FixedConcurrencyLimiter;
  readonly #levels: LevelTable;
  readonly #router: Router;
  readonly #ratio = new RetryThrottle(0.1);
  readonly #refusals = new RefusalRate();
  readonly #calls = new Map<string, Call>();
  /** Calls that the target has accepted but not begun. */
  readonly #backlog = new Set<Call>();
  readonly #runningByClass = [0, 0, 0];
  #busySlots = 0;
  #wakeAt = Infinity;

  constructor(chain: SimulatedChain, index: number, position: number) {
    const { loop, mode } = chain;
    const service = services[index] ?? services[0];
    this.#chain = chain;
    this.#index = index;
    this.#position = position;
    this.#service = service;
    const { clock } = loop;
    this.#gate = chain.isControlled
      ? new AdmissionController({
        slots: service.slots,
        classCount: classes.length,
        objective: mode as Objective,
        callerShare: 0.5,
        clock,
      })
      : new FixedConcurrencyLimiter(
        mode === "fixed-limit" ? service.slots : Infinity,
        loop,
      );
    this.#levels = new LevelTable({ clock, classCount: classes.length });
    this.#router = new Router({
      clock,
      random: chain.random,
      region: "Muntenia",
      availabilityZone: "a",
    });
    const next = services[index + 1];
    if (next !== undefined) {
      this.#router.updateService(next.name, { ...next, warmUpMilliseconds: 0 });
      this.#router.updateView(
        next.name,
        Array.from({ length: targetsPerService }, (_, i) => ({
          targetId: `${i}`,
          nodeAddress: `${i}`,
          region: "Muntenia",
          availabilityZone: "a",
          incarnation: 1,
          isDraining: false,
          ageMilliseconds: 0,
        })),
      );
    }
  }

  receive(call: Call): void {
    const { request } = call;
    const importance = getPriority(request.classIndex, request.hash);
    if (
      this.#index === 0 && this.#levels.shouldShed(reachedServices, importance)
    ) {
      this.#refuse(call, "shed-early");
      return;
    }
    this.#calls.set(request.id, call);
    const decision = this.#gate.offer(request);
    if (decision.kind === "run") {
      this.#run(call);
    } else if (decision.kind === "refused") {
      this.#refuse(call, decision.reason);
    }
    this.#takeEvents();
  }

  /** Stops the work for a call whose caller left. */
  cancel(call: Call): void {
    if (call.state === "waiting") {
      this.#gate.cancel(call.request.id);
      this.#calls.delete(call.request.id);
      call.state = "done";
    } else if (call.state === "running") {
      call.child?.node.cancel(call.child.call);
      this.#leaveTarget(call);
      this.#finish(call, "cancelled");
    }
    this.#takeEvents();
  }

  #takeEvents(): void {
    const events = this.#gate.takeEvents();
    for (const event of events) {
      const call = this.#calls.get(event.id);
      if (call === undefined) {
        continue;
      }
      if (event.kind === "run") {
        this.#run(call);
      } else {
        this.#refuse(call, event.reason);
      }
    }
    const wakeAt = this.#gate.getWakeMilliseconds();
    if (wakeAt !== undefined && wakeAt < this.#wakeAt) {
      this.#wakeAt = wakeAt;
      this.#chain.loop.schedule(wakeAt - this.#chain.loop.now, () => {
        this.#wakeAt = Infinity;
        this.#takeEvents();
      });
    }
  }

  #refuse(call: Call, reason: RefusalReason): void {
    call.state = "done";
    this.#calls.delete(call.request.id);
    const { classIndex } = call.request;
    this.#chain.onRefused(
      classIndex,
      reason,
      (this.#runningByClass[2] ?? 0) > 0,
    );
    this.#respond(call, { kind: "refused", reason });
  }

  #respond(call: Call, result: Pick<Result, "kind" | "reason">): void {
    const own = this.#gate.getLevel();
    const heard = this.#levels.getEntries();
    const levels = own > 0
      ? [{ service: this.#service.name, level: own }, ...heard]
      : heard;
    const unused = call.account.remaining;
    this.#chain.loop.schedule(
      hopMilliseconds,
      () => call.respond({ ...result, unused, levels }),
    );
  }

  #run(call: Call): void {
    const { loop } = this.#chain;
    call.state = "running";
    call.startedAt = loop.now;
    this.#count(call, 1);
    if (this.#busySlots + this.#backlog.size >= this.#service.connections) {
      this.#finish(call, "unreachable");
      this.#respond(call, { kind: "refused", reason: "target-unreachable" });
    } else if (this.#busySlots < this.#service.slots) {
      this.#begin(call);
    } else {
      this.#backlog.add(call);
    }
  }

  #begin(call: Call): void {
    this.#busySlots++;
    const { loop, random } = this.#chain;
    const mean = this.#service.milliseconds *
      this.#chain.getSlowness(this.#index, this.#position);
    const own = mean * (0.5 - 0.5 * Math.log(1 - random()));
    loop.schedule(own, () => {
      if (call.state !== "running") {
        return;
      }
      if (this.#index === deepest) {
        this.#complete(call, { kind: "ok" });
      } else {
        this.#ratio.onFirstAttempt();
        this.#attempt(call, 1, new Set());
      }
    });
  }

  #attempt(call: Call, attempts: number, excluded: Set<string>): void {
    const { loop } = this.#chain;
    const service = services[this.#index + 1]?.name ?? "";
    const part = call.account.startAttempt(services.length - this.#index - 1);
    const choice = this.#router.choose({
      service,
      classIndex: call.request.classIndex,
      excluded,
    });
    if (part === undefined || choice.kind !== "target") {
      this.#complete(call, { kind: "failed", reason: "no-target" });
      return;
    }
    const startedAt = loop.now;
    const node = this.#chain.getNode(this.#index + 1, Number(choice.targetId));
    const child = this.#chain.createCall(
      call,
      part.delegatedAttempts,
      (result) => {
        this.#router.onFinish(choice.targetId, {
          kind: result.kind === "ok" ? "completed" : "refused",
          hint: this.#chain.isControlled ? node.getHint() : undefined,
        });
        this.#recordLevels(result);
        this.#refusals.record(result.kind === "refused");
        call.account.reclaimUnused(part.delegatedAttempts, result.unused);
        call.awayMilliseconds += loop.now - startedAt;
        if (call.state === "running") {
          excluded.add(choice.targetId);
          this.#onResult(call, result, { attempts, excluded });
        }
      },
    );
    call.child = { node, call: child };
    loop.schedule(
      hopMilliseconds,
      () => child.state === "done" || node.receive(child),
    );
  }

  /** Records the levels of all deeper services, as a node does. */
  #recordLevels({ levels }: Result): void {
    for (const service of reachedServices.slice(this.#index + 1)) {
      const heard = levels.find((it) => it.service === service);
      this.#levels.record(service, heard?.level ?? 0);
    }
  }

  #onResult(
    call: Call,
    result: Result,
    { attempts, excluded }: { attempts: number; excluded: Set<string> },
  ): void {
    const { loop, mode, random } = this.#chain;
    const retry = (delay: number) => {
      loop.schedule(delay, () => {
        call.awayMilliseconds += delay;
        if (call.state === "running") {
          this.#attempt(call, attempts + 1, excluded);
        }
      });
    };
    if (result.kind === "ok") {
      this.#complete(call, result);
      return;
    }
    if (!this.#chain.isControlled) {
      if (mode === "fixed-limit" && attempts < 3) {
        excluded.clear();
        retry(20);
      } else {
        this.#complete(call, { ...result, kind: "failed" });
      }
      return;
    }
    const decision = decideRetry({
      disposition: result.kind === "refused" ? "not-run" : "ran",
      reason: result.reason ?? "target-shed",
      attempts,
      isIdempotent: call.request.classIndex !== 0,
      isSuspect: false,
      remainingAllowance: call.account.remaining,
      remainingMilliseconds: call.deadline - loop.now,
      hasRetryToken: this.#ratio.hasToken,
      isServiceRefusing: this.#refusals.isMostlyRefusing,
    }, {
      objective: mode as Objective,
      requiredAttempts: services.length - this.#index - 1,
      random,
    });
    if (decision.kind === "retry") {
      this.#ratio.tryTake();
      retry(decision.delayMilliseconds);
    } else {
      this.#complete(call, { ...result, kind: "failed" });
    }
  }

  getHint(): { limit: number; running: number; queued: number } {
    return this.#gate.getStatus();
  }

  #complete(call: Call, result: Pick<Result, "kind" | "reason">): void {
    this.#leaveTarget(call);
    this.#finish(call, "completed");
    this.#respond(call, result);
    this.#takeEvents();
  }

  #leaveTarget(call: Call): void {
    if (this.#backlog.delete(call)) {
      return;
    }
    this.#busySlots--;
    const [next] = this.#backlog;
    if (next !== undefined) {
      this.#backlog.delete(next);
      this.#begin(next);
    }
  }

  #finish(call: Call, kind: "completed" | "cancelled" | "unreachable"): void {
    call.state = "done";
    this.#count(call, -1);
    this.#calls.delete(call.request.id);
    this.#gate.finish(call.request.id, {
      kind,
      serviceMilliseconds: this.#chain.loop.now - call.startedAt -
        call.awayMilliseconds,
    });
  }

  #count(call: Call, by: number): void {
    const { classIndex } = call.request;
    this.#runningByClass[classIndex] = (this.#runningByClass[classIndex] ?? 0) +
      by;
  }
}

/** Three services of six targets each, in virtual time. */
export class SimulatedChain {
  readonly loop: VirtualTimeScheduler = new VirtualTimeScheduler();
  readonly random: () => number = createSeededRandom(20266);
  readonly mode: SimulationMode;
  readonly isControlled: boolean;
  /** Factor on the service time of the deepest service. */
  slowdownFactor = 1;
  /** Targets of the deepest service that it applies to. */
  slowTargetCount: number = targetsPerService;
  /** Refusals by class and reason. */
  readonly refusals = new Map<string, number>();
  /** Transfers refused by a node whose target ran a balance view. */
  transfersRefusedDuringBalance = 0;
  readonly #nodes: SimulatedNode[][];
  #calls = 0;

  constructor(mode: SimulationMode) {
    this.mode = mode;
    this.isControlled = mode === "goodput" || mode === "recovery";
    this.#nodes = services.map((_, index) =>
      Array.from(
        { length: targetsPerService },
        (_, position) => new SimulatedNode(this, index, position),
      )
    );
  }

  /** Sends a request as an outside caller; calls back once. */
  send(classIndex: number, onEnd: (isOk: boolean) => void): void {
    const { deadline, allowance } = classes[classIndex] ?? classes[0];
    const node = this.getNode(0, Math.floor(this.random() * targetsPerService));
    const account = new AllowanceAccount(allowance);
    const part = account.startAttempt(services.length);
    let hasEnded = false;
    const end = (isOk: boolean) => {
      if (!hasEnded) {
        hasEnded = true;
        onEnd(isOk);
      }
    };
    const call: Call = {
      request: this.#createRequest(classIndex, deadline),
      deadline: this.loop.now + deadline,
      account: new AllowanceAccount(part?.delegatedAttempts ?? 0),
      respond: (result) => end(result.kind === "ok"),
      state: "waiting",
      startedAt: 0,
      awayMilliseconds: 0,
    };
    this.loop.schedule(hopMilliseconds, () => node.receive(call));
    this.loop.schedule(deadline, () => {
      end(false);
      // A bare proxy does not pass on that the caller left.
      if (call.state !== "done" && this.mode !== "pass-through") {
        node.cancel(call);
      }
    });
  }

  createCall(
    parent: Call,
    allowance: number,
    respond: (result: Result) => void,
  ): Call {
    return {
      request: {
        ...parent.request,
        id: `${this.#calls++}`,
        depth: parent.request.depth + 1,
        remainingMilliseconds: parent.deadline - this.loop.now,
      },
      deadline: parent.deadline,
      account: new AllowanceAccount(this.isControlled ? allowance : 99),
      respond,
      state: "waiting",
      startedAt: 0,
      awayMilliseconds: 0,
    };
  }

  getNode(serviceIndex: number, index: number): SimulatedNode {
    const node = this.#nodes[serviceIndex]?.[index];
    if (node === undefined) {
      throw new RangeError(`Node ${index} of ${serviceIndex} does not exist`);
    }
    return node;
  }

  getSlowness(serviceIndex: number, position: number): number {
    return serviceIndex === deepest && position < this.slowTargetCount
      ? this.slowdownFactor
      : 1;
  }

  onRefused(
    classIndex: number,
    reason: RefusalReason,
    isBesideBalance: boolean,
  ): void {
    const key = `${classes[classIndex]?.name} ${reason}`;
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
    if (classIndex === 0 && isBesideBalance) {
      this.transfersRefusedDuringBalance++;
    }
  }

  #createRequest(
    classIndex: number,
    remainingMilliseconds: number,
  ): AdmissionRequest {
    const id = `${this.#calls++}`;
    return {
      id,
      caller: `${Math.floor(this.random() * 2000)}`,
      classIndex,
      depth: 0,
      hash: getStableHash(id),
      remainingMilliseconds,
      isSuspect: false,
    };
  }
}
