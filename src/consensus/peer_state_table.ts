import type { Envelope, Verdict } from "./message.ts";
import {
  advanceMemory,
  judgeStart,
  type LogPosition,
  type PeerState,
  type StartState,
} from "./peer_state.ts";

/** Bounds what is remembered; far above 7 instances and their replacements. */
const maximumPeers = 256;

/** Keeps what an instance durably remembers of its peers. */
export class PeerStateTable {
  readonly #memories: Map<string, PeerState>;
  /** Whether memory goes out with the next write or heartbeat. */
  #isDirty = false;
  #isDue = false;

  /** @param memories What the data folder holds, by the peer's id. */
  constructor(memories: ReadonlyMap<string, PeerState>) {
    this.#memories = new Map(memories);
  }

  /** Reports whether a write is needed for what was remembered. */
  get isDue(): boolean {
    return this.#isDue;
  }

  /** Reports whether something was remembered since the last write. */
  get isDirty(): boolean {
    return this.#isDirty || this.#isDue;
  }

  /** Makes a write necessary when something was remembered. */
  makeDue(): void {
    this.#isDue ||= this.#isDirty;
  }

  /** Takes all memories for a write. */
  take(): ReadonlyMap<string, PeerState> {
    this.#isDirty = false;
    this.#isDue = false;
    return new Map(this.#memories);
  }

  /** Reports whether promises of this start of the sender can be kept. */
  knowsStart({ fromId, fromBootId }: Envelope): boolean {
    return this.#memories.get(fromId)?.bootId === fromBootId;
  }

  /**
   * Keeps what a peer promised.
   * @returns False when the peer's start is not confirmed here.
   */
  remember(
    envelope: Envelope,
    promise: LogPosition & { readonly term: number },
  ): boolean {
    const memory = this.#memories.get(envelope.fromId);
    if (memory === undefined || !this.knowsStart(envelope)) {
      return false;
    }
    const advanced = advanceMemory(memory, promise);
    if (advanced !== memory) {
      this.#memories.set(envelope.fromId, advanced);
      this.#isDirty = true;
    }
    return true;
  }

  /**
   * Judges the start of a peer, and remembers a start that is confirmed.
   * @param id The peer.
   * @param start What it says that it started with.
   * @param isMember Tells whose memory must be kept.
   */
  judge(
    id: string,
    start: StartState,
    isMember: (id: string) => boolean,
  ): { verdict: Verdict; reason: string } {
    const known = this.#memories.get(id);
    const { verdict, reason, memory } = judgeStart(known, start);
    if (memory !== known) {
      this.#forgetOthers(isMember);
      this.#memories.set(id, memory);
      this.#isDue = true;
    }
    return { verdict, reason };
  }

  #forgetOthers(isMember: (id: string) => boolean): void {
    if (this.#memories.size < maximumPeers) {
      return;
    }
    for (const id of this.#memories.keys()) {
      if (!isMember(id)) {
        this.#memories.delete(id);
      }
    }
  }
}
