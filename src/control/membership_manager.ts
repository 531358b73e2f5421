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
} from "./membership_rules.ts";

/** Interval at which an instance looks at its place in the group. */
const checkMilliseconds = 500;
/** Deadline of a request to join; the same as for every RPC of the group. */
const joinMilliseconds = 1000;
/**
 * Time without a leader after which an instance asks for its place again. An
 * election takes up to 3 s.
 */
const lostMilliseconds = 3000;

/** What {@link MembershipManager} needs. */
export interface MembershipManagerOptions {
  readonly log: ReplicatedLog;
  readonly eventLog: Log;
  readonly clock: Clock;
  readonly address: string;
  /** Addresses of instances that may be in the group. */
  readonly seedAddresses: readonly string[];
  readonly interceptors: readonly Interceptor[];
}

/**
 * Brings instances into the group without an operator: an instance without a
 * place asks for one, and the leader adds it, lets it take the place of an
 * earlier disk at its address, and removes members that stay silent.
 */
export class MembershipManager {
  readonly #options: MembershipManagerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #clients = new Map<string, GroupClient>();
  #seedAddresses: readonly string[];
  #candidateAddresses: readonly string[];
  #heardAt: number;
  /** Named by the instance that was asked last. */
  #leaderAddress: string | undefined;
  #nextContact = 0;
  #isAsking = false;
  #isChanging = false;

  /** @param options The group's log, and where to ask. */
  constructor(options: MembershipManagerOptions) {
    this.#options = options;
    this.#seedAddresses = options.seedAddresses;
    this.#candidateAddresses = options.seedAddresses;
    this.#heardAt = options.clock.monotonicMilliseconds();
    this.#timer = setInterval(() => this.#check(), checkMilliseconds);
  }

  /** Gets the service that takes requests of instances without a place. */
  getService(): GroupServer {
    return {
      join: (
        call: ServerUnaryCall<JoinRequest, JoinAnswer>,
        callback: sendUnaryData<JoinAnswer>,
      ) => callback(null, this.#onJoin(call.request)),
    };
  }

  /** Replaces the addresses of the settings. */
  setSeedAddresses(contacts: readonly string[]): void {
    this.#seedAddresses = contacts;
    this.#candidateAddresses = mergeAddresses(
      contacts,
      this.#candidateAddresses,
    );
  }

  /** Stops asking and closes the connections. */
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
      this.#heardAt = now;
      this.#candidateAddresses = mergeAddresses(
        status.members.map((each) => each.address),
        this.#seedAddresses,
      );
    }
    if (status.role === "leader") {
      this.#removeSilent(status);
    } else if (
      !isVoterOf(status) || now - this.#heardAt > lostMilliseconds
    ) {
      this.#askNext(status);
    }
  }

  /** Asks the leader when it is known, else one instance after the other. */
  #askNext(status: ConsensusStatus): void {
    if (this.#isAsking) {
      return;
    }
    const { address } = this.#options;
    const leaderAddress = this.#leaderAddress ?? status.leader?.address;
    this.#leaderAddress = undefined;
    if (leaderAddress !== undefined && leaderAddress !== address) {
      this.#ask(leaderAddress, status.id);
      return;
    }
    const others = this.#candidateAddresses.filter((each) => each !== address);
    const next = others[this.#nextContact++ % Math.max(1, others.length)];
    if (next !== undefined) {
      this.#ask(next, status.id);
    }
  }

  #ask(address: string, id: string): void {
    this.#isAsking = true;
    const request = { formatVersion, id, address: this.#options.address };
    this.#getClient(address).join(
      request,
      new Metadata(),
      { deadline: Date.now() + joinMilliseconds },
      (error, answer) => {
        this.#isAsking = false;
        if (error === null) {
          this.#onAnswer(answer);
        } else {
          const reason = error.details;
          this.#options.eventLog.warn("place not answered", {
            address,
            reason,
          });
        }
      },
    );
  }

  #onAnswer(answer: JoinAnswer): void {
    this.#leaderAddress = answer.refusal?.controlAddresses[0];
    this.#candidateAddresses = mergeAddresses(
      answer.memberAddresses,
      this.#seedAddresses,
    );
  }

  #onJoin(request: JoinRequest): JoinAnswer {
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
    void this.#change(step, request.address);
    const refusal = createRefusal(
      "member-change-refused",
      `The instance is being brought in: ${step.kind}`,
    );
    return { formatVersion, refusal, memberAddresses };
  }

  #removeSilent(status: ConsensusStatus): void {
    const id = chooseMemberToRemove(status);
    if (id !== undefined) {
      void this.#change({ kind: "remove", id }, "");
    }
  }

  async #change(
    step: Exclude<JoinStep, { kind: "none" }>,
    address: string,
  ): Promise<void> {
    if (this.#isChanging) {
      return;
    }
    this.#isChanging = true;
    const { log, eventLog } = this.#options;
    const result = await log.changeMembers(step);
    this.#isChanging = false;
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
