import type { Envelope, Verdict } from "./message.ts";
import {
  advancePeerState,
  type LogPosition,
  type PeerState,
  type StartState,
  verifyStart,
} from "./peer_state.ts";

/** Bounds what is remembered; far above 7 instances and their replacements. */
const maximumPeerStates = 256;

/** Keeps what an instance durably remembers of its peers. */
export class PeerStateTable {
  readonly #states: Map<string, PeerState>;
  /** Whether memory goes out with the next write or heartbeat. */
  #isChanged = false;
  #isWriteRequired = false;

  /** @param states What the data folder holds, by the peer's id. */
  constructor(states: ReadonlyMap<string, PeerState>) {
    this.#states = new Map(states);
  }

  /** Reports whether a write is needed for what was remembered. */
  get isWriteRequired(): boolean {
    return this.#isWriteRequired;
  }

  /** Reports whether something was remembered since the last write. */
  get hasUnwrittenChanges(): boolean {
    return this.#isChanged || this.#isWriteRequired;
  }

  /** Makes a write necessary when something was remembered. */
  requireWrite(): void {
    this.#isWriteRequired ||= this.#isChanged;
  }

  /** Takes all memories for a write. */
  takeForWrite(): ReadonlyMap<string, PeerState> {
    this.#isChanged = false;
    this.#isWriteRequired = false;
    return new Map(this.#states);
  }

  /** Reports whether promises of this start of the sender can be kept. */
  hasConfirmedStart({ fromId, fromBootId }: Envelope): boolean {
    return this.#states.get(fromId)?.bootId === fromBootId;
  }

  /**
   * Keeps what a peer promised.
   * @returns False when the peer's start is not confirmed here.
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
   * Judges the start of a peer, and remembers a start that is confirmed.
   * @param id The peer.
   * @param start What it says that it started with.
   * @param isMember Tells whose memory must be kept.
   */
  verifyStart(
    id: string,
    start: StartState,
    isMember: (id: string) => boolean,
  ): { verdict: Verdict; reason: string } {
    const known = this.#states.get(id);
    const { verdict, reason, memory } = verifyStart(known, start);
    if (memory !== known) {
      this.#removeNonMembers(isMember);
      this.#states.set(id, memory);
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
