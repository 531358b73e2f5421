/** A seed whose plan found a fault. */
export interface RegressionSeed {
  readonly seed: number;
  readonly finding: string;
}

/** The seeds that found a fault, with the default size of a run. */
export const regressionSeeds: readonly RegressionSeed[] = [
  {
    seed: 3,
    finding: "a stop waited for refused transfers, and cut them at its limit",
  },
  {
    seed: 4,
    finding:
      "a refused or malformed request cut the pipelined ones at the target",
  },
  {
    seed: 5,
    finding: "a restarted node served its drained target",
  },
  {
    seed: 10,
    finding: "a node without a document told resends that nothing ran",
  },
  {
    seed: 30,
    finding: "a deadline cut a response that was being read",
  },
  {
    seed: 104,
    finding: "a deadline cut a response that its target had sent",
  },
  {
    seed: 302,
    finding: "a deadline cut a response while its node stopped",
  },
];
