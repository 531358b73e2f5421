import type { Envelope } from "./message.ts";

/** Identity of the instance that listens at an address. */
export interface PeerIdentity {
  readonly id: string;
  /** Empty before the instance joined a group. */
  readonly groupId: string;
}

/** Carries messages between instances; may drop, duplicate or reorder them. */
export interface Transport {
  send(envelopes: readonly Envelope[]): void;
  /**
   * Requests the identity of the instance that listens at an address.
   * @returns `undefined` when no instance responded before the timeout.
   */
  identify(address: string): Promise<PeerIdentity | undefined>;
  stop(): Promise<void>;
}

/** Receives the messages that arrive over a transport. */
export interface TransportReceiver {
  receive(envelope: Envelope): void;
  /** Called for a message that was probably not delivered. */
  onDeliveryFailed(envelope: Envelope): void;
  /** Gets the identity with which the transport answers `identify` calls. */
  getIdentity(): PeerIdentity;
}
