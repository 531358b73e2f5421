import type { SnapshotInfo } from "./log_entry.ts";
import type { ConsensusMessage } from "./message.ts";

/** What became of a chunk. */
export interface ChunkResult {
  /** Offset of the chunk that is needed next. */
  readonly nextOffset: number;
  /** The whole snapshot, with its last chunk. */
  readonly data?: Uint8Array;
}

/** Puts the chunks of a snapshot together. */
export class IncomingSnapshot {
  #index: number | undefined;
  #chunks: Uint8Array[] = [];
  #size = 0;

  /** Forgets the chunks of a leader that was replaced. */
  clear(): void {
    this.#start(undefined);
  }

  /** Takes a chunk; one that does not follow the last one is not used. */
  add(
    chunk: Extract<ConsensusMessage, { kind: "snapshotChunk" }>,
  ): ChunkResult {
    if (this.#index !== chunk.info.index || chunk.offset === 0) {
      this.#start(chunk.info);
    }
    if (chunk.offset !== this.#size) {
      return { nextOffset: this.#size };
    }
    this.#chunks.push(chunk.data);
    this.#size += chunk.data.length;
    const nextOffset = this.#size;
    if (!chunk.isLast) {
      return { nextOffset };
    }
    const data = Buffer.concat(this.#chunks);
    this.clear();
    return { nextOffset, data };
  }

  #start(info: SnapshotInfo | undefined): void {
    this.#index = info?.index;
    this.#chunks = [];
    this.#size = 0;
  }
}
