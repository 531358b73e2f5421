const attemptWeight = 1 / 16;

/** Moving average of the share of attempts to one service that are refused. */
export class RefusalRate {
  #share = 0;

  /** Records whether an attempt was refused for lack of capacity. */
  record(wasRefused: boolean): void {
    this.#share += attemptWeight * ((wasRefused ? 1 : 0) - this.#share);
  }

  /** Whether most attempts are refused, so that a retry is likely to fail. */
  get isMostlyRefusing(): boolean {
    return this.#share > 0.5;
  }
}
