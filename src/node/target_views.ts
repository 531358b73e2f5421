import type { RoutingTarget } from "../routing/mod.ts";
import type { NodeState } from "./node_state.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/**
 * Gives the router the targets of each service. The target beside this node
 * comes from its own announcements, which are newer than what control says.
 */
export class TargetViews {
  readonly #state: NodeState;
  readonly #dispatcher: TargetDispatcher;
  #ownService: readonly RoutingTarget[] = [];

  /**
   * @param state What the parts of the node share.
   * @param dispatcher The target's side of this node.
   */
  constructor(state: NodeState, dispatcher: TargetDispatcher) {
    this.#state = state;
    this.#dispatcher = dispatcher;
  }

  /** Applies the view of a service that control sent. */
  update(service: string, targets: readonly RoutingTarget[]): void {
    if (service === this.#state.settings.service) {
      this.#ownService = targets;
      this.updateOwn();
    } else {
      this.#state.router.updateView(service, targets);
    }
  }

  /** Applies the state of the target beside this node. */
  updateOwn(): void {
    const { settings, router } = this.#state;
    const { target } = this.#dispatcher;
    const others = this.#ownService.filter((each) =>
      each.targetId !== settings.nodeId
    );
    if (target.state !== "ready") {
      router.updateView(settings.service, others);
      return;
    }
    const own: RoutingTarget = {
      targetId: settings.nodeId,
      // Calls to it do not go through the node listener.
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
