import type { LinkRule } from "./routing_types.ts";
import { TokenBucket } from "./token_bucket.ts";

const burstSeconds = 0.25;
/** Share of a link that a node may use while it has no assigned share. */
const unassignedShare = 1 / 256;
/** Time after which an assigned share expires unless it is renewed. */
const shareLifetimeMilliseconds = 10_000;
const callBytesWeight = 0.05;
const initialCallBytes = 2048;

/**
 * Byte budget of this node for one direction between two regions. It consists
 * of a token bucket for all classes and one for the most important class only.
 */
export class LinkBudget {
  readonly rule: LinkRule;
  readonly #general: TokenBucket;
  readonly #reserved: TokenBucket;
  #shareReceivedMilliseconds = -Infinity;
  #usesUnassignedShare = true;
  #meanCallBytes = initialCallBytes;
  #callsInFlight = 0;
  /** Bytes reserved for calls in flight. */
  #outstandingBytes = 0;
  #bytesOfFinishedCalls = 0;
  #finishedCalls = 0;
  #unreportedBytes = 0;

  /**
   * @param rule The link.
   * @param nowMilliseconds Monotonic time.
   */
  constructor(rule: LinkRule, nowMilliseconds: number) {
    this.rule = rule;
    const share = rule.bytesPerSecond * unassignedShare;
    const options = { burstSeconds, nowMilliseconds };
    this.#reserved = new TokenBucket(share * rule.reservedShare, options);
    this.#general = new TokenBucket(share * (1 - rule.reservedShare), options);
  }

  /**
   * Checks whether a call may be sent.
   * @param bytes Bytes that the call will send; 0 when unknown.
   * @param options Class of the call and time.
   */
  hasRoom(
    bytes: number,
    options: { isMostImportant: boolean; nowMilliseconds: number },
  ): boolean {
    const now = options.nowMilliseconds;
    this.#expireShare(now);
    const needed = this.getReservation(bytes);
    const general = this.#general.get(now) - this.#outstandingBytes;
    return general >= needed || (options.isMostImportant &&
      Math.min(general, 0) + this.#reserved.get(now) >= needed);
  }

  /**
   * Gets the bytes to reserve for a call that is expected to send `bytes`; at
   * least the mean of the bytes that earlier calls transferred.
   */
  getReservation(bytes: number): number {
    return Math.max(bytes, this.#meanCallBytes);
  }

  /** Records that a call was sent over the link. */
  onStart(reservedBytes: number): void {
    this.#callsInFlight++;
    this.#outstandingBytes += reservedBytes;
  }

  /**
   * Records that a call over the link ended.
   * @param reservedBytes Bytes reserved for it; the mean of the calls in flight
   * when unknown.
   */
  onFinish(reservedBytes?: number): void {
    if (this.#callsInFlight === 0) {
      return;
    }
    const released = reservedBytes ??
      this.#outstandingBytes / this.#callsInFlight;
    this.#callsInFlight--;
    this.#outstandingBytes = this.#callsInFlight === 0
      ? 0
      : Math.max(0, this.#outstandingBytes - released);
    this.#finishedCalls++;
    if (this.#finishedCalls >= 8) {
      const mean = this.#bytesOfFinishedCalls / this.#finishedCalls;
      this.#meanCallBytes += callBytesWeight * 8 * (mean - this.#meanCallBytes);
      this.#finishedCalls = 0;
      this.#bytesOfFinishedCalls = 0;
    }
  }

  /** Records bytes that were transferred over the link. */
  onBytes(bytes: number, nowMilliseconds: number): void {
    this.#unreportedBytes += bytes;
    this.#bytesOfFinishedCalls += bytes;
    const general = Math.max(0, this.#general.get(nowMilliseconds));
    const fromGeneral = Math.min(bytes, general);
    const reserved = Math.max(0, this.#reserved.get(nowMilliseconds));
    const fromReserved = Math.min(bytes - fromGeneral, reserved);
    this.#reserved.take(fromReserved);
    this.#general.take(bytes - fromReserved);
  }

  /** Assigns a share of the link to this node. */
  setShare(bytesPerSecond: number, nowMilliseconds: number): void {
    this.#shareReceivedMilliseconds = nowMilliseconds;
    this.#usesUnassignedShare = false;
    this.#setRate(bytesPerSecond, nowMilliseconds);
  }

  /** Gets and resets the bytes transferred since the last call. */
  takeBytes(): number {
    const bytes = this.#unreportedBytes;
    this.#unreportedBytes = 0;
    return bytes;
  }

  #expireShare(nowMilliseconds: number): void {
    if (
      !this.#usesUnassignedShare &&
      nowMilliseconds - this.#shareReceivedMilliseconds >
        shareLifetimeMilliseconds
    ) {
      this.#usesUnassignedShare = true;
      this.#setRate(
        this.rule.bytesPerSecond * unassignedShare,
        nowMilliseconds,
      );
    }
  }

  #setRate(bytesPerSecond: number, nowMilliseconds: number): void {
    const options = { burstSeconds, nowMilliseconds };
    const { reservedShare } = this.rule;
    this.#reserved.setRate(bytesPerSecond * reservedShare, options);
    this.#general.setRate(bytesPerSecond * (1 - reservedShare), options);
  }
}
