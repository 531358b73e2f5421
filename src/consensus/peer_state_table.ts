import type { Envelope, Verdict } from "./message.ts";
import {
  advancePeerState,
  type LogPosition,
  type PeerState,
  type StartState,
  verifyStart,
} from "./peer_state.ts";

/** Bounds the table; well above 7 instances and their replacements. */
const maximumPeerStates = 256;

/** Keeps the state of peers that this instance records durably. */
export class PeerStateTable {
  readonly #states: Map<string, PeerState>;
  /** Whether the table has changed since the last write. */
  #isChanged = false;
  /** Whether a write must be started if nothing else causes one. */
  #isWriteRequired = false;

  /** @param states States from the data folder, by the identity of the peer. */
  constructor(states: ReadonlyMap<string, PeerState>) {
    this.#states = new Map(states);
  }

  /** Reports whether the table must be written now. */
  get isWriteRequired(): boolean {
    return this.#isWriteRequired;
  }

  /** Reports whether the table has changed since the last write. */
  get hasUnwrittenChanges(): boolean {
    return this.#isChanged || this.#isWriteRequired;
  }

  /** Requires a write if the table has changed since the last one. */
  requireWrite(): void {
    this.#isWriteRequired ||= this.#isChanged;
  }

  /** Gets all states for a write, after which the table counts as unchanged. */
  takeForWrite(): ReadonlyMap<string, PeerState> {
    this.#isChanged = false;
    this.#isWriteRequired = false;
    return new Map(this.#states);
  }

  /** Reports whether this instance has confirmed the sender's current start. */
  hasConfirmedStart({ fromId, fromBootId }: Envelope): boolean {
    return this.#states.get(fromId)?.bootId === fromBootId;
  }

  /**
   * Records a vote, an acknowledgement or entries of a peer.
   * @param envelope The message that carried them.
   * @param progress The term, and the position that the peer holds in it.
   * @returns False when this instance has not confirmed the peer's start.
   */
  recordProgress(
    envelope: Envelope,
    progress: LogPosition & { readonly term: number },
  ): boolean {
    const state = this.#states.get(envelope.fromId);
    if (state === undefined || !this.hasConfirmedStart(envelope)) {
      return false;
    }
    const advanced = advancePeerState(state, progress);
    if (advanced !== state) {
      this.#states.set(envelope.fromId, advanced);
      this.#isChanged = true;
    }
    return true;
  }

  /**
   * Verifies the start of a peer, and records it when it is confirmed.
   * @param id Identity of the peer.
   * @param start State with which it started.
   * @param isMember Reports whether a peer is a member. States of members are
   * never removed.
   */
  verifyStart(
    id: string,
    start: StartState,
    isMember: (id: string) => boolean,
  ): { verdict: Verdict; reason: string } {
    const known = this.#states.get(id);
    const { verdict, reason, state } = verifyStart(known, start);
    if (state !== known) {
      this.#removeNonMembers(isMember);
      this.#states.set(id, state);
      this.#isWriteRequired = true;
    }
    return { verdict, reason };
  }

  #removeNonMembers(isMember: (id: string) => boolean): void {
    if (this.#states.size < maximumPeerStates) {
      return;
    }
    for (const id of this.#states.keys()) {
      if (!isMember(id)) {
        this.#states.delete(id);
      }
    }
  }
}
