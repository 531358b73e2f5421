import {
  parseTargetRecord,
  type TargetRecord,
  toKnownTarget,
  toTargetRecord,
  ViewCopy,
} from "../membership/mod.ts";
import type { Hello, ViewUpdate } from "../protocol/generated/session.ts";

/** Minimum time between two requests for the same view. */
const minimumRequestIntervalMilliseconds = 1000;

/** Result of applying an update to a view. */
export interface ViewUpdateResult {
  readonly targets: readonly TargetRecord[];
  /** Whether the view differs from control's and has to be requested again. */
  readonly needsRequest: boolean;
}

/** Keeps a copy of each view (the targets of a service) that control sent. */
export class ReceivedViews {
  readonly #views = new Map<string, ViewCopy>();
  readonly #requestedAt = new Map<string, number>();
  /** Services whose view differs from control's. */
  readonly #differing = new Set<string>();

  /** Gets the digest of each view, for a hello message. */
  getDigests(): Hello["viewDigests"] {
    return [...this.#views].map(([service, { digest }]) => ({
      service,
      digest,
    }));
  }

  /**
   * Applies an update of a view.
   * @param update The update.
   * @param nowMilliseconds Monotonic time.
   * @returns The targets after the update.
   */
  apply(update: ViewUpdate, nowMilliseconds: number): ViewUpdateResult {
    const { service } = update;
    const copy = this.#views.get(service) ?? new ViewCopy();
    this.#views.set(service, copy);
    const matchesDigest = copy.apply({
      ...update,
      changed: update.changed.map(parseTargetRecord)
        .filter((record) => record !== undefined)
        .map((record) => toKnownTarget(record, nowMilliseconds)),
    });
    if (matchesDigest) {
      this.#differing.delete(service);
    } else {
      this.#differing.add(service);
    }
    return {
      targets: copy.targets.map((target) =>
        toTargetRecord(target, nowMilliseconds)
      ),
      needsRequest: !matchesDigest &&
        this.#recordRequestIfDue(service, nowMilliseconds),
    };
  }

  /**
   * Gets the services whose view still differs from control's and has to be
   * requested again; to be called periodically.
   * @param nowMilliseconds Monotonic time.
   */
  takeDueRequests(nowMilliseconds: number): string[] {
    return [...this.#differing].filter((service) =>
      this.#recordRequestIfDue(service, nowMilliseconds)
    );
  }

  /**
   * Records a request for a view, unless one was made shortly before. After a
   * move, control instances may disagree about a view; without this limit each
   * full view that arrives would cause the next request.
   */
  #recordRequestIfDue(service: string, nowMilliseconds: number): boolean {
    const requestedAt = this.#requestedAt.get(service) ?? -Infinity;
    if (nowMilliseconds - requestedAt < minimumRequestIntervalMilliseconds) {
      return false;
    }
    this.#requestedAt.set(service, nowMilliseconds);
    return true;
  }
}
