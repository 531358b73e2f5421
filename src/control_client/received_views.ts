import {
  parseTargetRecord,
  type TargetRecord,
  toKnownTarget,
  toTargetRecord,
  ViewCopy,
} from "../membership/mod.ts";
import type { Hello, ViewUpdate } from "../protocol/generated/session.ts";

/** Time after which a view that differs is requested again. */
const requestIntervalMilliseconds = 1000;

/** What became of an update. */
export interface ReceivedView {
  readonly targets: readonly TargetRecord[];
  /** Whether the view differs from control's and should be requested. */
  readonly needsRequest: boolean;
}

/** Keeps the views that control sent. */
export class ReceivedViews {
  readonly #copies = new Map<string, ViewCopy>();
  readonly #requestedAt = new Map<string, number>();

  /** Gets the digest of each view, for a hello. */
  getDigests(): Hello["viewDigests"] {
    return [...this.#copies].map(([service, { digest }]) => ({
      service,
      digest,
    }));
  }

  /**
   * Applies an update of a view.
   * @param update The update.
   * @param nowMilliseconds Monotonic time.
   */
  apply(update: ViewUpdate, nowMilliseconds: number): ReceivedView {
    const { service } = update;
    const copy = this.#copies.get(service) ?? new ViewCopy();
    this.#copies.set(service, copy);
    const isEqual = copy.apply({
      ...update,
      changed: update.changed.map(parseTargetRecord)
        .filter((record) => record !== undefined)
        .map((record) => toKnownTarget(record, nowMilliseconds)),
    });
    return {
      targets: copy.targets.map((target) =>
        toTargetRecord(target, nowMilliseconds)
      ),
      needsRequest: !isEqual && this.#takeRequest(service, nowMilliseconds),
    };
  }

  /** While instances disagree after a move, each copy would ask for the next. */
  #takeRequest(service: string, nowMilliseconds: number): boolean {
    const requestedAt = this.#requestedAt.get(service) ?? -Infinity;
    if (nowMilliseconds - requestedAt < requestIntervalMilliseconds) {
      return false;
    }
    this.#requestedAt.set(service, nowMilliseconds);
    return true;
  }
}
