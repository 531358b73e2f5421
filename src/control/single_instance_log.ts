import { type Clock, ok, type Result, systemClock } from "../common/mod.ts";
import type {
  ConsensusStatus,
  ProposeError,
  ReplicatedLog,
  StateMachine,
} from "./replicated_log.ts";

/** A log of one instance without a disk, for tests. */
export class SingleInstanceLog implements ReplicatedLog {
  readonly #stateMachine: StateMachine;
  readonly #address: string;
  readonly #clock: Clock;
  #index = 0;

  /**
   * @param stateMachine What the log drives.
   * @param options Address of the instance, and the clock of its entries.
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
    return {
      role: "leader",
      term: 1,
      leaderAddress: this.#address,
      isolated: false,
      members: [{ address: this.#address, id: "single", isVoter: true }],
      appliedIndex: this.#index,
    };
  }

  changeMembers(): Promise<Result<void, ProposeError>> {
    return Promise.resolve(ok(undefined));
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}
