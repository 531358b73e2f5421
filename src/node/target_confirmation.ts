import type { Log } from "../common/mod.ts";
import type { AnnouncedTarget } from "./announced_target.ts";

/** Settings of a {@link TargetConfirmation}. */
export interface TargetConfirmationOptions {
  readonly target: AnnouncedTarget;
  readonly log: Log;
  readonly limitMilliseconds: number;
  /** Gets whether the node has a document, so that it can serve calls. */
  hasDocument(): boolean;
}

/** Limits the time for which a target waits until control confirms it. */
export class TargetConfirmation {
  readonly #options: TargetConfirmationOptions;
  #hasConnected = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param options The target and the limit. */
  constructor(options: TargetConfirmationOptions) {
    this.#options = options;
  }

  /** Records that the node has a session with control. */
  onConnected(): void {
    this.#hasConnected = true;
    this.update();
  }

  /** Begins or ends the wait, after a change of the target or the document. */
  update(): void {
    const { target, log, limitMilliseconds, hasDocument } = this.#options;
    if (target.state !== "unconfirmed") {
      this.stop();
    } else if (
      (this.#hasConnected || hasDocument()) && this.#timer === undefined
    ) {
      this.#timer = setTimeout(() => {
        log.warn("target not confirmed by control", { limitMilliseconds });
        target.confirm();
      }, limitMilliseconds);
    }
  }

  /** Ends the wait. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }
}
