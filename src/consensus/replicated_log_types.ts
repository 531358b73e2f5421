import type { Server } from "@grpc/grpc-js";
import type { Clock, Log, RandomSource, Result } from "../common/mod.ts";
import type { ConsensusTiming, Role } from "./core_types.ts";
import type { FileSystem } from "./file_system.ts";
import type { Member, MemberChange } from "./member.ts";
import type { StateMachine } from "./state_machine.ts";
import type { Transport, TransportReceiver } from "./transport.ts";

/** Reason why a proposal or a read failed. */
export type ProposeError =
  | { readonly kind: "not-leader"; readonly leaderAddress?: string }
  | { readonly kind: "isolated" }
  /** The read is confirmed, but entries that it must include are missing. */
  | { readonly kind: "outdated" }
  /** Proposed, but it is unknown whether it will be committed. */
  | { readonly kind: "outcome-unknown" }
  | { readonly kind: "storage-failed"; readonly message: string }
  /** The change of members is invalid or cannot be made now. */
  | { readonly kind: "member-change-refused"; readonly message: string };

/** Status of an instance of the replicated log. */
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
   * True when there was no contact with a majority for 1.5 s, so that the state
   * may be outdated, or when the storage failed.
   */
  readonly isolated: boolean;
  /**
   * True when the state lacks committed entries for 0.75 s despite contact with
   * the leader, or when it is not known since the start to include all of them.
   */
  readonly outdated: boolean;
  /**
   * Time since the applied state was last known to include everything that the
   * group had committed; `Infinity` if that was not known since the start.
   */
  readonly stateAgeMilliseconds: number;
  readonly members: readonly Member[];
  /** On the leader: index up to which each member holds the log. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  /** On the leader: time since the last response of each other member. */
  readonly lastContactAgesMilliseconds: ReadonlyMap<string, number>;
  readonly snapshotIndex: number;
  readonly appliedIndex: number;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Digest of the state machine, computed when the property is read. */
  readonly digest: string;
  /** Message of the storage error after which this instance stopped. */
  readonly failure?: string;
}

/** A log of commands that is replicated to all instances of a group. */
export interface ReplicatedLog {
  /**
   * Proposes a command. Resolves with the result of the state machine once the
   * command is committed and applied here.
   */
  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>>;
  /**
   * Confirms with a majority that a read is current; resolves once the local
   * state includes all commands that were committed before the call. Fails when
   * that takes more than 1 s longer than the confirmation.
   */
  confirmRead(): Promise<Result<{ index: number }, ProposeError>>;
  getStatus(): ConsensusStatus;
  changeMembers(change: MemberChange): Promise<Result<void, ProposeError>>;
  stop(): Promise<void>;
}

/** Settings of a replicated log. */
export interface ReplicatedLogOptions {
  readonly dataFolder: string;
  /** IP address and port at which the other instances reach this one. */
  readonly address: string;
  /** Address to listen on if it differs from `address`. */
  readonly listenAddress?: string | undefined;
  /** Maps an address to the one to connect to; the same address by default. */
  readonly resolveAddress?: ((address: string) => string) | undefined;
  /**
   * Addresses of the members of a new group, in the same order on each of them.
   * Used only while the data folder is empty. Empty for an instance that is to
   * join an existing group. An instance that is not in the list becomes a member
   * of the new group if it reaches these members before the group is created.
   */
  readonly initialMembers: readonly string[];
  /**
   * Number of disks that may be lost at once; 0 by default. A new group waits up
   * to 1.5 s for as many members as that requires, and the first command waits
   * up to 1.5 s until enough of them hold the log.
   */
  readonly toleratedLosses?: number;
  readonly stateMachine: StateMachine;
  readonly log: Log;
  /** Shared secret with which instances authenticate each other. */
  readonly token?: string | undefined;
  /** gRPC server to use, which the caller binds; one is created by default. */
  readonly server?: Server | undefined;
  /**
   * Whether the data folder may be a copy, such as a restored backup; true by
   * default. False where a disk is either kept or lost.
   */
  readonly mayFolderBeCopy?: boolean;
  /** Number of entries after which a snapshot is taken; 4096 by default. */
  readonly snapshotEntries?: number;
  /** Total size of entries after which a snapshot is taken; 32 MiB by default. */
  readonly snapshotBytes?: number;
  /** Called once when the storage has failed and the instance has stopped. */
  readonly onFailure?: (message: string) => void;
  readonly timing?: ConsensusTiming;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  /** File system to use instead of the disk; for tests. */
  readonly files?: FileSystem;
  /** Creates a transport to use instead of gRPC; for tests. */
  readonly createTransport?: (
    receiver: TransportReceiver,
  ) => Promise<Transport>;
}
