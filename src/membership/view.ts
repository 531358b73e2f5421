import { getStableHash } from "../common/mod.ts";
import {
  compareTargets,
  getTargetVersion,
  isLiveTarget,
  type KnownTarget,
  type TargetAttributes,
} from "./target_record.ts";

/** A change of the targets that a node has of one service. */
export interface ViewDelta {
  /** Whether `changed` is all that the node should have. */
  readonly full: boolean;
  readonly changed: readonly KnownTarget[];
  readonly removedTargetIds: readonly string[];
  /** Digest of the view after the change; empty when it is not known. */
  readonly digest: string;
  /** Whether the sender may lack targets, so that nothing is removed. */
  readonly collecting: boolean;
}

/**
 * Gets the digest of a view.
 * @param targets Its targets, in any order.
 * @returns Text that changes with every record of the view.
 */
export function getViewDigest(targets: Iterable<TargetAttributes>): string {
  let low = 0;
  let high = 0;
  let count = 0;
  for (const target of targets) {
    const version = getTargetVersion(target);
    low ^= getStableHash(version);
    high ^= getStableHash(version, 1);
    count++;
  }
  return [low, high, count].map((part) => (part >>> 0).toString(36)).join(".");
}

/**
 * Gets what changed between two views.
 * @param previous Targets that the node has.
 * @param next Targets that the node should have.
 * @returns The change, or `undefined` when there is none.
 */
export function getViewDelta(
  previous: readonly KnownTarget[],
  next: readonly KnownTarget[],
): ViewDelta | undefined {
  const known = new Map(previous.map((target) => [target.targetId, target]));
  const changed: KnownTarget[] = [];
  for (const target of next) {
    // Records are never changed in place, so the same object is the same state.
    if (known.get(target.targetId) !== target) {
      changed.push(target);
    }
    known.delete(target.targetId);
  }
  if (changed.length === 0 && known.size === 0) {
    return undefined;
  }
  return {
    full: false,
    changed,
    removedTargetIds: [...known.keys()],
    digest: getViewDigest(next),
    collecting: false,
  };
}

/** The targets of one service at a node. */
export class ViewCopy {
  readonly #targets = new Map<string, KnownTarget>();

  get targets(): KnownTarget[] {
    return [...this.#targets.values()];
  }

  get digest(): string {
    return getViewDigest(this.#targets.values());
  }

  /**
   * Takes in a change. A record that is newer here than in the change stays:
   * after a move the new instance may not have heard of it yet.
   * @param delta The change.
   * @returns Whether the view now matches the sender's.
   */
  apply(delta: ViewDelta): boolean {
    if (delta.full && !delta.collecting) {
      const kept = new Set(delta.changed.map((target) => target.targetId));
      for (const targetId of this.#targets.keys()) {
        if (!kept.has(targetId)) {
          this.#targets.delete(targetId);
        }
      }
    }
    for (const target of delta.changed) {
      const known = this.#targets.get(target.targetId);
      if (known === undefined || compareTargets(target, known) >= 0) {
        this.#targets.set(target.targetId, target);
      }
      if (!isLiveTarget(target)) {
        this.#targets.delete(target.targetId);
      }
    }
    if (!delta.collecting) {
      delta.removedTargetIds.forEach((each) => this.#targets.delete(each));
    }
    return delta.digest === "" || delta.digest === this.digest;
  }
}
