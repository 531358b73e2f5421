/** The state that the log replicates; the same on every instance. */
export interface StateMachine {
  /** Applies one committed command; deterministic; returns the result. */
  apply(
    entry: {
      readonly index: number;
      readonly time: Date;
      readonly command: Uint8Array;
    },
  ): Uint8Array;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(bytes: Uint8Array): void;
  getDigest(): string;
}
