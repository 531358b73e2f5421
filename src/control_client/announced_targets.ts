import type { Clock } from "../common/mod.ts";
import {
  type KnownTarget,
  type TargetRecord,
  toKnownTarget,
  toTargetRecord,
} from "../membership/mod.ts";

interface Announced {
  target: KnownTarget;
  /** Sequence of the renewal whose answer confirms the announcement. */
  confirmedBy: number;
}

/** The targets that a node announced, with the sequence of each record. */
export class AnnouncedTargets {
  readonly #clock: Clock;
  readonly #targets = new Map<string, Announced>();
  #lastSequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Keeps a new state of a target.
   * @param record The state; its sequence is replaced.
   * @returns The record to send.
   */
  set(record: TargetRecord): TargetRecord {
    const now = this.#clock.monotonicMilliseconds();
    const target = {
      ...toKnownTarget(record, now),
      sequence: this.#getNextSequence(),
    };
    this.#targets.set(record.targetId, {
      target,
      confirmedBy: Number.POSITIVE_INFINITY,
    });
    return toTargetRecord(target, now);
  }

  /** Gets all targets under new sequences, to announce them again. */
  renumberAll(): TargetRecord[] {
    return [...this.#targets.values()].map(({ target }) =>
      this.#renumber(target)
    );
  }

  /**
   * Gets a record that is newer than one that control knows.
   * @param known The record that control knows.
   * @returns The record to send, or `undefined` when the target is not this
   * node's any more.
   */
  overtake(known: TargetRecord): TargetRecord | undefined {
    const own = this.#targets.get(known.targetId)?.target;
    if (own === undefined) {
      return undefined;
    }
    const isClosed = known.incarnation > own.incarnation ||
      (known.incarnation === own.incarnation && known.state === "left" &&
        own.state !== "left");
    if (isClosed && known.nodeId !== own.nodeId) {
      return undefined;
    }
    this.#lastSequence = Math.max(this.#lastSequence, known.sequence);
    return this.#renumber(
      // The clock went back between two starts of the target.
      isClosed ? { ...own, incarnation: known.incarnation + 1 } : own,
    );
  }

  /** Sets the renewal whose answer confirms a target's announcement. */
  setConfirmedBy(targetId: string, renewSequence: number): void {
    const announced = this.#targets.get(targetId);
    if (announced !== undefined) {
      announced.confirmedBy = renewSequence;
    }
  }

  /** Forgets the targets that left when control knows that they did. */
  confirm(renewSequence: number): void {
    for (const [targetId, { target, confirmedBy }] of this.#targets) {
      if (target.state === "left" && confirmedBy <= renewSequence) {
        this.#targets.delete(targetId);
      }
    }
  }

  #renumber(target: KnownTarget): TargetRecord {
    const renumbered = { ...target, sequence: this.#getNextSequence() };
    this.#targets.set(target.targetId, {
      target: renumbered,
      confirmedBy: Number.POSITIVE_INFINITY,
    });
    return toTargetRecord(renumbered, this.#clock.monotonicMilliseconds());
  }

  /** Gets a sequence that is also higher than those before a node restart. */
  #getNextSequence(): number {
    this.#lastSequence = Math.max(
      this.#lastSequence + 1,
      this.#clock.now().getTime(),
    );
    return this.#lastSequence;
  }
}
