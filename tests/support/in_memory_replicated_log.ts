import {
  type Clock,
  ok,
  type Result,
  systemClock,
} from "../../src/common/mod.ts";
import type {
  ConsensusStatus,
  ProposeError,
  ReplicatedLog,
  StateMachine,
} from "../../src/consensus/mod.ts";

/** A replicated log with a single instance, kept in memory, for tests. */
export class InMemoryReplicatedLog implements ReplicatedLog {
  readonly #stateMachine: StateMachine;
  readonly #address: string;
  readonly #clock: Clock;
  #index = 0;

  /**
   * @param stateMachine The state machine that applies the commands.
   * @param options Address of the instance, and the clock for its entry times.
   */
  constructor(
    stateMachine: StateMachine,
    options: { address: string; clock?: Clock },
  ) {
    this.#stateMachine = stateMachine;
    this.#address = options.address;
    this.#clock = options.clock ?? systemClock;
  }

  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>> {
    this.#index += 1;
    const result = this.#stateMachine.apply({
      index: this.#index,
      time: this.#clock.now(),
      command,
    });
    return Promise.resolve(ok(result));
  }

  confirmRead(): Promise<Result<{ index: number }, ProposeError>> {
    return Promise.resolve(ok({ index: this.#index }));
  }

  getStatus(): ConsensusStatus {
    const id = "single";
    const index = this.#index;
    const stateMachine = this.#stateMachine;
    return {
      id,
      address: this.#address,
      groupId: "single",
      bootCount: 1,
      role: "leader",
      term: 1,
      leader: { id, address: this.#address },
      isolated: false,
      outdated: false,
      stateAgeMilliseconds: 0,
      members: [{ id, address: this.#address, isVoter: true }],
      lastContactAgesMilliseconds: new Map(),
      matchIndexes: new Map(),
      snapshotIndex: 0,
      appliedIndex: index,
      commitIndex: index,
      lastIndex: index,
      get digest() {
        return stateMachine.getDigest();
      },
    };
  }

  changeMembers(): Promise<Result<void, ProposeError>> {
    return Promise.resolve(ok(undefined));
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}
