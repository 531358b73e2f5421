/** The replicated state; every instance applies the same commands to it. */
export interface StateMachine {
  /**
   * Applies one committed command. Must be deterministic, so that all instances
   * reach the same state.
   * @returns The result for the proposer.
   */
  apply(
    entry: {
      readonly index: number;
      readonly time: Date;
      readonly command: Uint8Array;
    },
  ): Uint8Array;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(bytes: Uint8Array): void;
  /** Gets a digest that is equal on instances with equal state. */
  getDigest(): string;
}
