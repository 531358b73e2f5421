// Plays planned and unplanned stops, document changes and drains against running
// processes under load, and checks what callers and targets see:
//   npm run build && node dist/soak/run_soak.js --seed 1
// Exits with 1 if a rule was broken.
import { Command, InvalidArgumentError } from "commander";
import { formatKeyValues } from "../src/common/mod.ts";
import { groupBy } from "./group_by.ts";
import { getKnownFault } from "./known_faults.ts";
import { regressionSeeds } from "./regression_seeds.ts";
import { runSoak } from "./soak_run.ts";
import { formatViolation, type Violation } from "./violation.ts";

interface SoakOptions {
  readonly seed: readonly number[];
  readonly regression?: boolean;
  readonly firstSeed?: number;
  readonly lastSeed?: number;
  readonly seconds: number;
  readonly nodes: number;
  readonly control: number;
}

/** Violations that are printed; the folder of the run has all of them. */
const maximumPrintedViolations = 20;

function parseWholeNumber(text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new InvalidArgumentError("Expected a whole number.");
  }
  return Number(text);
}

function collectSeed(text: string, seeds: readonly number[]): number[] {
  return [...seeds, parseWholeNumber(text)];
}

function getSeeds(options: SoakOptions): number[] {
  const { seed, regression, firstSeed, lastSeed } = options;
  const seeds = [
    ...seed,
    ...(regression ? regressionSeeds.map((each) => each.seed) : []),
  ];
  if (firstSeed !== undefined) {
    const count = (lastSeed ?? firstSeed) - firstSeed + 1;
    seeds.push(...Array.from({ length: count }, (_, each) => firstSeed + each));
  }
  return seeds.length === 0 ? [1] : seeds;
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Counts violations by the rule that was broken. */
function countKinds(
  violations: readonly Violation[],
): Record<string, number> {
  const groups = groupBy(violations, ({ kind }) => kind);
  return Object.fromEntries(
    [...groups].map(([kind, group]) => [kind, group.length]),
  );
}

/** Plays one seed and reports whether no rule was broken. */
async function runSeed(seed: number, options: SoakOptions): Promise<boolean> {
  const { seconds, nodes, control } = options;
  const start = performance.now();
  const { violations: found, counts, folder } = await runSoak({
    seed,
    seconds,
    nodeCount: nodes,
    controlCount: control,
  });
  const violations = found.filter((each) => getKnownFault(each) === undefined);
  const known = found.filter((each) => !violations.includes(each));
  known.slice(0, maximumPrintedViolations).forEach((each) =>
    printLine(
      `known=${JSON.stringify(getKnownFault(each)?.entry)} ` +
        formatViolation(each),
    )
  );
  violations.slice(0, maximumPrintedViolations)
    .forEach((each) => printLine(formatViolation(each)));
  printLine(formatKeyValues({
    seed,
    result: violations.length === 0 ? "passed" : "failed",
    violations: violations.length,
    seconds: Math.round((performance.now() - start) / 1000),
    known: known.length,
    ...countKinds(found),
    ...counts,
  }));
  if (folder !== undefined) {
    printLine(formatKeyValues({
      logs: folder,
      repeat:
        `node dist/soak/run_soak.js --seed ${seed} --seconds ${seconds} --nodes ${nodes} --control ${control}`,
    }));
  }
  return violations.length === 0;
}

// Exiting kills the processes that the run started.
process.on("SIGINT", () => process.exit(130));
process.on("SIGTERM", () => process.exit(143));

const options = new Command("run_soak")
  .description("Plays stops and changes under load, and checks every request.")
  .option("--seed <number...>", "seeds of the plans", collectSeed, [])
  .option("--regression", "play the seeds that found a fault")
  .option("--first-seed <number>", "first of several seeds", parseWholeNumber)
  .option("--last-seed <number>", "last of several seeds", parseWholeNumber)
  .option("--seconds <number>", "time of the plan", parseWholeNumber, 20)
  .option("--nodes <number>", "nodes, with a target each", parseWholeNumber, 8)
  .option("--control <number>", "control instances", parseWholeNumber, 3)
  .parse().opts<SoakOptions>();
const seeds = getSeeds(options);
const failed: number[] = [];
for (const seed of seeds) {
  if (!await runSeed(seed, options)) {
    failed.push(seed);
  }
}
printLine(formatKeyValues({
  seeds: seeds.length,
  failures: failed.length,
  failed: failed.join(","),
}));
process.exit(failed.length > 0 ? 1 : 0);
