import { getStableHash } from "../common/mod.ts";
import {
  compareTargets,
  getTargetVersion,
  isLiveTarget,
  type KnownTarget,
  type TargetAttributes,
} from "./target_record.ts";

/** A change to a node's view, which is its targets of one service. */
export interface ViewDelta {
  /** Whether `changed` is the complete view instead of a difference. */
  readonly full: boolean;
  readonly changed: readonly KnownTarget[];
  readonly removedTargetIds: readonly string[];
  /** Digest of the view after the change; empty when it is not known. */
  readonly digest: string;
  /**
   * Whether the sender may not know all targets yet. The receiver then keeps
   * targets that the sender does not list.
   */
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

/** A node's copy of its view of one service. */
export class ViewCopy {
  readonly #targets = new Map<string, KnownTarget>();

  get targets(): KnownTarget[] {
    return [...this.#targets.values()];
  }

  get digest(): string {
    return getViewDigest(this.#targets.values());
  }

  /**
   * Applies a change. A record that is newer than the one in the change is
   * kept: after the node has moved its session to another instance, that
   * instance may not have received the newer record yet.
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
