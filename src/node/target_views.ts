import type { RoutingTarget } from "../routing/mod.ts";
import type { NodeState } from "./node_state.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/**
 * Passes the targets of each service to the router. The state of the local
 * target is taken from its own announcements, because they are newer than the
 * view that control sends.
 */
export class TargetViews {
  readonly #state: NodeState;
  readonly #dispatcher: TargetDispatcher;
  #ownServiceTargets: readonly RoutingTarget[] = [];

  /**
   * @param state State that the components of the node share.
   * @param dispatcher Dispatcher of the local target.
   */
  constructor(state: NodeState, dispatcher: TargetDispatcher) {
    this.#state = state;
    this.#dispatcher = dispatcher;
  }

  /** Applies the view of a service that control sent. */
  update(service: string, targets: readonly RoutingTarget[]): void {
    if (service === this.#state.settings.service) {
      this.#ownServiceTargets = targets;
      this.updateLocalTarget();
    } else {
      this.#state.router.updateView(service, targets);
    }
  }

  /** Applies the state of the local target. */
  updateLocalTarget(): void {
    const { settings, router } = this.#state;
    const { target } = this.#dispatcher;
    const others = this.#ownServiceTargets.filter((each) =>
      each.targetId !== settings.nodeId
    );
    if (target.state !== "ready") {
      router.updateView(settings.service, others);
      return;
    }
    const own: RoutingTarget = {
      targetId: settings.nodeId,
      // Calls to the local target do not use the node listener.
      nodeAddress: "",
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      incarnation: target.announcement?.incarnation ?? 0,
      isDraining: false,
      ageMilliseconds: target.getAgeMilliseconds(),
    };
    router.updateView(settings.service, [own, ...others]);
  }
}
