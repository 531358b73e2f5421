import type { SnapshotInfo } from "./log_entry.ts";
import type { ConsensusMessage } from "./message.ts";

/** Result of adding a chunk. */
export interface ChunkResult {
  /** Offset of the next chunk that is needed, in bytes. */
  readonly nextOffset: number;
  /** The complete snapshot; set when the last chunk was added. */
  readonly data?: Uint8Array;
}

/** Assembles a snapshot from the chunks that a leader sends. */
export class IncomingSnapshot {
  #index: number | undefined;
  #chunks: Uint8Array[] = [];
  #size = 0;

  /** Discards all chunks; used when the leader changes. */
  clear(): void {
    this.#start(undefined);
  }

  /** Adds a chunk. A chunk that does not follow the previous one is ignored. */
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
