import type {
  AdmissionDecision,
  AdmissionEvent,
  AdmissionRequest,
} from "../src/admission/mod.ts";
import type { VirtualTimeScheduler } from "./virtual_time_scheduler.ts";

/**
 * Admission control of the baselines: a fixed concurrency limit with a bounded
 * first-in first-out queue.
 */
export class FixedConcurrencyLimiter {
  /** Deadlines of queued calls by id, in queue order. */
  readonly #queue = new Map<string, number>();
  readonly #limit: number;
  readonly #scheduler: VirtualTimeScheduler;
  #running = 0;
  #events: AdmissionEvent[] = [];

  constructor(limit: number, scheduler: VirtualTimeScheduler) {
    this.#limit = limit;
    this.#scheduler = scheduler;
  }

  offer(request: AdmissionRequest): AdmissionDecision {
    if (this.#running < this.#limit) {
      this.#running++;
      return { kind: "run" };
    }
    if (this.#queue.size >= 2 * this.#limit) {
      return { kind: "refused", reason: "queue-full" };
    }
    const deadline = this.#scheduler.now + request.remainingMilliseconds;
    this.#queue.set(request.id, deadline);
    return { kind: "queued" };
  }

  finish(): void {
    this.#running--;
    for (const [id, deadline] of this.#queue) {
      this.#queue.delete(id);
      if (deadline > this.#scheduler.now) {
        this.#running++;
        this.#events.push({ kind: "run", id });
        return;
      }
      this.#events.push({ kind: "refused", id, reason: "deadline-exceeded" });
    }
  }

  cancel(id: string): void {
    this.#queue.delete(id);
  }

  takeEvents(): AdmissionEvent[] {
    return this.#events.splice(0);
  }

  getWakeMilliseconds(): number | undefined {
    return undefined;
  }

  getLevel(): number {
    return 0;
  }

  getStatus(): { limit: number; running: number; queued: number } {
    return {
      limit: this.#limit,
      running: this.#running,
      queued: this.#queue.size,
    };
  }
}
