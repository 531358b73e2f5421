import {
  credentials,
  type Interceptor,
  Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { Clock, Log } from "../common/mod.ts";
import type { ConsensusStatus, ReplicatedLog } from "../consensus/mod.ts";
import {
  GroupClient,
  type GroupServer,
  type JoinAnswer,
  type JoinRequest,
} from "../protocol/generated/control.ts";
import { formatVersion } from "./control_state_machine.ts";
import { createProposeRefusal, createRefusal } from "./refusal.ts";
import {
  chooseMemberToRemove,
  getJoinStep,
  type JoinStep,
  memberRemovalTimeoutMilliseconds,
} from "./membership_rules.ts";

/** Interval at which an instance checks its membership in the group. */
const checkIntervalMilliseconds = 500;
/** Timeout of a join request; equal to that of every RPC in the group. */
const joinTimeoutMilliseconds = 1000;
/**
 * Time in isolation after which a voter requests to join again: the group may
 * have removed it. The time covers an election, which takes up to 3 s.
 */
const rejoinDelayMilliseconds = 3000;

/** Options of {@link MembershipManager}. */
export interface MembershipManagerOptions {
  readonly log: ReplicatedLog;
  readonly eventLog: Log;
  readonly clock: Clock;
  /** Address of this instance. */
  readonly address: string;
  /** Addresses of instances that may be members of the group. */
  readonly seedAddresses: readonly string[];
  /** Number of disks of instances that may be lost at once. */
  readonly toleratedLosses: number;
  readonly interceptors: readonly Interceptor[];
}

/**
 * Manages the members of the consensus group without an operator. An instance
 * that is not a voter requests to join, and the leader adds it and makes it a
 * voter. An instance that lost its disk returns with a new identity, so the leader
 * first removes the member that had its address before. The leader also removes
 * members that stay unresponsive.
 */
export class MembershipManager {
  readonly #options: MembershipManagerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #clients = new Map<string, GroupClient>();
  #seedAddresses: readonly string[];
  /** Addresses to which join requests are sent when the leader is unknown. */
  #candidateAddresses: readonly string[];
  /** Monotonic time at which this instance was last not isolated. */
  #lastConnectedMilliseconds: number;
  /** Leader that the answer to the last join request named. */
  #leaderAddress: string | undefined;
  #nextCandidate = 0;
  #isJoinInFlight = false;
  #isChangeInFlight = false;
  /** Monotonic time at which this leader last made an instance a voter. */
  #lastPromotionMilliseconds = -Infinity;

  /** @param options Replicated log, seed addresses and dependencies. */
  constructor(options: MembershipManagerOptions) {
    this.#options = options;
    this.#seedAddresses = options.seedAddresses;
    this.#candidateAddresses = options.seedAddresses;
    this.#lastConnectedMilliseconds = options.clock.monotonicMilliseconds();
    this.#timer = setInterval(() => this.#check(), checkIntervalMilliseconds);
  }

  /** Gets the service that handles join requests. */
  getService(): GroupServer {
    return {
      join: (
        call: ServerUnaryCall<JoinRequest, JoinAnswer>,
        callback: sendUnaryData<JoinAnswer>,
      ) => callback(null, this.#handleJoinRequest(call.request)),
    };
  }

  /** Replaces the seed addresses. */
  setSeedAddresses(addresses: readonly string[]): void {
    this.#seedAddresses = addresses;
    this.#candidateAddresses = mergeAddresses(
      addresses,
      this.#candidateAddresses,
    );
  }

  /** Stops the checks and closes the connections. */
  stop(): void {
    clearInterval(this.#timer);
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }

  #check(): void {
    const { log, clock } = this.#options;
    const status = log.getStatus();
    const now = clock.monotonicMilliseconds();
    if (!status.isolated) {
      this.#lastConnectedMilliseconds = now;
      this.#candidateAddresses = mergeAddresses(
        status.members.map((each) => each.address),
        this.#seedAddresses,
      );
    }
    if (status.role === "leader") {
      this.#removeUnresponsiveMember(status);
    } else if (
      !isVoterOf(status) ||
      now - this.#lastConnectedMilliseconds > rejoinDelayMilliseconds
    ) {
      this.#requestToJoin(status);
    }
  }

  /**
   * Sends a join request to the leader if it is known, otherwise to the next
   * candidate address in turn.
   */
  #requestToJoin(status: ConsensusStatus): void {
    if (this.#isJoinInFlight) {
      return;
    }
    const { address } = this.#options;
    const leaderAddress = this.#leaderAddress ?? status.leader?.address;
    this.#leaderAddress = undefined;
    if (leaderAddress !== undefined && leaderAddress !== address) {
      this.#sendJoinRequest(leaderAddress, status.id);
      return;
    }
    const candidates = this.#candidateAddresses.filter((each) =>
      each !== address
    );
    const next = candidates[
      this.#nextCandidate++ % Math.max(1, candidates.length)
    ];
    if (next !== undefined) {
      this.#sendJoinRequest(next, status.id);
    }
  }

  #sendJoinRequest(address: string, id: string): void {
    this.#isJoinInFlight = true;
    const request = { formatVersion, id, address: this.#options.address };
    this.#getClient(address).join(
      request,
      new Metadata(),
      { deadline: Date.now() + joinTimeoutMilliseconds },
      (error, answer) => {
        this.#isJoinInFlight = false;
        if (error === null) {
          this.#onJoinAnswer(answer);
        } else {
          const reason = error.details;
          this.#options.eventLog.warn("join request failed", {
            address,
            reason,
          });
        }
      },
    );
  }

  #onJoinAnswer(answer: JoinAnswer): void {
    this.#leaderAddress = answer.refusal?.controlAddresses[0];
    this.#candidateAddresses = mergeAddresses(
      answer.memberAddresses,
      this.#seedAddresses,
    );
  }

  #handleJoinRequest(request: JoinRequest): JoinAnswer {
    const status = this.#options.log.getStatus();
    const memberAddresses = status.members.map((each) => each.address);
    const step = status.role === "leader" && !status.isolated
      ? getJoinStep(status, request)
      : undefined;
    if (step === undefined) {
      const leaderAddress = status.leader?.address;
      const refusal = createProposeRefusal(
        leaderAddress === undefined || leaderAddress === this.#options.address
          ? { kind: "not-leader" }
          : { kind: "not-leader", leaderAddress },
      );
      return { formatVersion, refusal, memberAddresses };
    }
    if (step.kind === "none") {
      return { formatVersion, refusal: undefined, memberAddresses };
    }
    void this.#changeMembers(step, request.address);
    const refusal = createRefusal(
      "member-change-refused",
      `The join is in progress; current step: ${step.kind}`,
    );
    return { formatVersion, refusal, memberAddresses };
  }

  #removeUnresponsiveMember(status: ConsensusStatus): void {
    const { toleratedLosses, clock } = this.#options;
    const newVoterAge = clock.monotonicMilliseconds() -
      this.#lastPromotionMilliseconds;
    const id = chooseMemberToRemove(status, {
      toleratedLosses,
      hasNewVoter: newVoterAge < memberRemovalTimeoutMilliseconds,
    });
    if (id !== undefined) {
      void this.#changeMembers({ kind: "remove", id }, "");
    }
  }

  async #changeMembers(
    step: Exclude<JoinStep, { kind: "none" }>,
    address: string,
  ): Promise<void> {
    if (this.#isChangeInFlight) {
      return;
    }
    this.#isChangeInFlight = true;
    const { log, eventLog, clock } = this.#options;
    const result = await log.changeMembers(step);
    this.#isChangeInFlight = false;
    if (step.kind === "promote" && result.kind === "ok") {
      this.#lastPromotionMilliseconds = clock.monotonicMilliseconds();
    }
    eventLog.info("group change", {
      step: step.kind,
      address,
      result: result.kind,
      reason: result.kind === "error" ? result.error.kind : undefined,
    });
  }

  #getClient(address: string): GroupClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new GroupClient(address, credentials.createInsecure(), {
        "grpc.initial_reconnect_backoff_ms": 100,
        "grpc.max_reconnect_backoff_ms": 1000,
        interceptors: [...this.#options.interceptors],
      });
      this.#clients.set(address, client);
    }
    return client;
  }
}

function isVoterOf({ id, members }: ConsensusStatus): boolean {
  return members.some((each) => each.id === id && each.isVoter);
}

function mergeAddresses(
  first: readonly string[],
  second: readonly string[],
): string[] {
  return [...new Set([...first, ...second])];
}
