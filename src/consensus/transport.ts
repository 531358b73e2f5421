import type { Envelope } from "./message.ts";

/** Who listens at an address. */
export interface PeerIdentity {
  readonly id: string;
  /** Empty before the instance joined a group. */
  readonly groupId: string;
}

/** Carries messages between instances; may lose, repeat and reorder them. */
export interface Transport {
  send(envelopes: readonly Envelope[]): void;
  /**
   * Asks who listens at an address.
   * @returns `undefined` when nobody responded in time.
   */
  identify(address: string): Promise<PeerIdentity | undefined>;
  stop(): Promise<void>;
}

/** What a transport delivers to. */
export interface TransportReceiver {
  receive(envelope: Envelope): void;
  getIdentity(): PeerIdentity;
}
