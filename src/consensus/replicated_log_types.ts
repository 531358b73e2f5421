import type { Server } from "@grpc/grpc-js";
import type { Clock, Log, RandomSource, Result } from "../common/mod.ts";
import type { ConsensusTiming, Role } from "./core_types.ts";
import type { FileSystem } from "./file_system.ts";
import type { Member, MemberChange } from "./member.ts";
import type { StateMachine } from "./state_machine.ts";
import type { Transport, TransportReceiver } from "./transport.ts";

/** Why a proposal or a read has no result. */
export type ProposeError =
  | { readonly kind: "not-leader"; readonly leaderAddress?: string }
  | { readonly kind: "isolated" }
  /** Proposed, but its result is not known. */
  | { readonly kind: "outcome-unknown" }
  | { readonly kind: "storage-failed"; readonly message: string }
  /** A change of members that cannot be made now. */
  | { readonly kind: "member-change-refused"; readonly message: string };

/** What an instance tells about its replicated log. */
export interface ConsensusStatus {
  readonly id: string;
  readonly address: string;
  /** Empty before the instance joined a group. */
  readonly groupId: string;
  readonly bootCount: number;
  readonly role: Role;
  readonly term: number;
  readonly leader?: { readonly id: string; readonly address: string };
  /**
   * True when too little was heard for 1.5 s to call the state current, or
   * when the storage failed.
   */
  readonly isolated: boolean;
  readonly members: readonly Member[];
  /** On the leader: the index up to which each member follows. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  /** On the leader: time since each other member was heard, in milliseconds. */
  readonly lastContactAgesMilliseconds: ReadonlyMap<string, number>;
  readonly snapshotIndex: number;
  readonly appliedIndex: number;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Digest of the state machine, computed when it is read. */
  readonly digest: string;
  /** Why the storage stopped acknowledging. */
  readonly failure?: string;
}

/** A log of commands that a majority of the instances keeps. */
export interface ReplicatedLog {
  /** Resolves with the result of `apply` once committed and applied here. */
  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>>;
  /** Resolves when the local state includes all that was committed before. */
  confirmRead(): Promise<Result<{ index: number }, ProposeError>>;
  getStatus(): ConsensusStatus;
  changeMembers(change: MemberChange): Promise<Result<void, ProposeError>>;
  stop(): Promise<void>;
}

/** Settings of a replicated log. */
export interface ReplicatedLogOptions {
  readonly dataFolder: string;
  /** IP address and port under which the others reach this instance. */
  readonly address: string;
  /** Where it listens when that differs from `address`. */
  readonly listenAddress?: string | undefined;
  /** Gets where to connect for an address; the address itself by default. */
  readonly resolveAddress?: ((address: string) => string) | undefined;
  /**
   * Addresses of the members of a new group, in the same order on each. Used
   * only while the data folder is empty; empty for an instance that is added
   * to a group that exists.
   */
  readonly initialMembers: readonly string[];
  readonly stateMachine: StateMachine;
  readonly log: Log;
  /** Authenticates instances to each other. */
  readonly token?: string | undefined;
  /** A gRPC server that the caller binds; else one is created. */
  readonly server?: Server | undefined;
  /** Takes a snapshot after this many entries; 4096 by default. */
  readonly snapshotEntries?: number;
  /** Called once when the storage failed and the instance stopped. */
  readonly onFailure?: (message: string) => void;
  readonly timing?: ConsensusTiming;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  /** Replace the disk and the network, for tests. */
  readonly files?: FileSystem;
  readonly createTransport?: (
    receiver: TransportReceiver,
  ) => Promise<Transport>;
}
