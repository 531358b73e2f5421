import type { Clock } from "../common/mod.ts";
import {
  isDrained,
  isForgottenDrain,
  type KnownTarget,
  type TargetRecord,
  toKnownTarget,
  toTargetRecord,
} from "../membership/mod.ts";

interface AnnouncedTarget {
  target: KnownTarget;
  /** Sequence of the first renewal whose answer confirms the announcement. */
  confirmingSequence: number;
}

/**
 * Keeps the targets that a node announced, and assigns the sequences by which
 * control recognizes the newest record of a target.
 */
export class AnnouncedTargets {
  readonly #clock: Clock;
  readonly #targets = new Map<string, AnnouncedTarget>();
  #lastSequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Stores a new state of a target.
   * @param record The state; its sequence is replaced by a new one.
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
      confirmingSequence: Number.POSITIVE_INFINITY,
    });
    return toTargetRecord(target, now);
  }

  /** Assigns new sequences to all targets and gets the records to announce. */
  assignNewSequences(): TargetRecord[] {
    return [...this.#targets.values()].map(({ target }) =>
      this.#assignNewSequence(target)
    );
  }

  /**
   * Gets whether a target must be drained again, because it was drained before
   * the node restarted.
   * @param known The record that control knows.
   */
  isDrainForgotten(known: TargetRecord): boolean {
    const own = this.#targets.get(known.targetId)?.target;
    return own !== undefined && isForgottenDrain(own, known);
  }

  /**
   * Gets a record that supersedes the one that control knows, after control
   * rejected an announcement as stale.
   * @param known The record that control knows.
   * @returns The record to send, or `undefined` when the target no longer
   * belongs to this node.
   */
  supersede(known: TargetRecord): TargetRecord | undefined {
    const own = this.#targets.get(known.targetId)?.target;
    if (own === undefined) {
      return undefined;
    }
    const isIncarnationEnded = known.incarnation > own.incarnation ||
      (known.incarnation === own.incarnation && known.state === "left" &&
        own.state !== "left");
    if (isIncarnationEnded && known.nodeId !== own.nodeId) {
      return undefined;
    }
    this.#lastSequence = Math.max(this.#lastSequence, known.sequence);
    if (isIncarnationEnded && known.incarnation >= Number.MAX_SAFE_INTEGER) {
      return undefined;
    }
    return this.#assignNewSequence(
      // The clock was set back between two starts of the target, so that the
      // later start got the lower incarnation, or its node restarted.
      isIncarnationEnded ? raiseIncarnation(own, known.incarnation + 1) : own,
    );
  }

  /** Sets the first renewal whose answer confirms a target's announcement. */
  setConfirmingSequence(targetId: string, renewSequence: number): void {
    const announced = this.#targets.get(targetId);
    if (announced !== undefined) {
      announced.confirmingSequence = renewSequence;
    }
  }

  /**
   * Removes the targets that left, once control has confirmed it.
   * @param renewSequence Sequence of a renewal that control answered.
   */
  confirm(renewSequence: number): void {
    for (
      const [targetId, { target, confirmingSequence }] of this
        .#targets
    ) {
      if (target.state === "left" && confirmingSequence <= renewSequence) {
        this.#targets.delete(targetId);
      }
    }
  }

  #assignNewSequence(target: KnownTarget): TargetRecord {
    const renumbered = { ...target, sequence: this.#getNextSequence() };
    this.#targets.set(target.targetId, {
      target: renumbered,
      confirmingSequence: Number.POSITIVE_INFINITY,
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

/** Raises the incarnation of a target, which stays drained if it was. */
function raiseIncarnation(
  target: KnownTarget,
  incarnation: number,
): KnownTarget {
  return {
    ...target,
    incarnation,
    drainedIncarnation: isDrained(target)
      ? incarnation
      : target.drainedIncarnation,
  };
}
