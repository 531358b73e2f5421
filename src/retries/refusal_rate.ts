const weight = 1 / 16;

/** Follows which part of the attempts to one service is refused. */
export class RefusalRate {
  #share = 0;

  /** Records whether an attempt was refused for lack of capacity. */
  record(wasRefused: boolean): void {
    this.#share += weight * ((wasRefused ? 1 : 0) - this.#share);
  }

  /** Checks whether most of the service refuses, so that a retry is wasted. */
  get isMostlyRefusing(): boolean {
    return this.#share > 0.5;
  }
}
