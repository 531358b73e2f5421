import {
  ControlSession,
  type ControlSessionOptions,
  type NodeIdentity,
} from "../../src/control_client/mod.ts";
import type { TargetRecord, TargetState } from "../../src/membership/mod.ts";
import type {
  LinkShare,
  SuspectUpdate,
} from "../../src/protocol/generated/session.ts";

/**
 * A node with a control session but without listeners. It records what the
 * session receives.
 */
export class SessionNode {
  readonly session: ControlSession;
  readonly identity: NodeIdentity;
  readonly revisions: number[] = [];
  readonly views = new Map<string, readonly TargetRecord[]>();
  readonly suspects: SuspectUpdate[] = [];
  readonly drainRequests: string[] = [];
  /** Smallest number of targets in a view received so far, by service. */
  readonly minimumTargetCounts = new Map<string, number>();
  documentPart: Uint8Array | undefined;
  linkShares: readonly LinkShare[] = [];
  #drainedIncarnation = 0;

  constructor(
    options: Partial<ControlSessionOptions> & {
      controlAddresses: readonly string[];
      identity: Partial<NodeIdentity> & { nodeId: string };
    },
  ) {
    this.identity = {
      environment: "trial",
      incarnation: 1,
      region: "Puget",
      availabilityZone: "puget-a",
      service: "balances",
      nodeAddress: `10.0.0.1:${options.identity.nodeId}`,
      ...options.identity,
    };
    this.session = new ControlSession({
      nodeIdentity: this.identity,
      onDocument: ({ revision, part }) => {
        this.revisions.push(revision);
        this.documentPart = part;
      },
      onView: (service, targets) => {
        this.views.set(service, targets);
        this.minimumTargetCounts.set(
          service,
          Math.min(
            this.minimumTargetCounts.get(service) ?? Infinity,
            targets.length,
          ),
        );
      },
      onLinkShares: (shares) => this.linkShares = shares,
      onSuspects: (update) => this.suspects.push(update),
      onDrainRequest: (targetId) => this.drainRequests.push(targetId),
      ...options,
    });
  }

  /** Announces the target of the node in a given state. */
  announce(state: TargetState, incarnation = 1): void {
    const { nodeId, incarnation: _, ...attributes } = this.identity;
    if (state === "draining") {
      this.#drainedIncarnation = incarnation;
    }
    this.session.announce({
      ...attributes,
      targetId: `${nodeId}-target`,
      nodeId,
      incarnation,
      sequence: 0,
      state,
      ageMilliseconds: 0,
      drainedIncarnation: this.#drainedIncarnation,
    });
  }

  /** Gets the states of the targets in a service's view, by target id. */
  getStates(service: string): Record<string, string> {
    return Object.fromEntries(
      (this.views.get(service) ?? []).map((
        each,
      ) => [each.targetId, each.state]),
    );
  }
}
