import { existsSync, readFileSync } from "node:fs";
import type { StandInRun } from "./stand_in_target.ts";

/**
 * Reads what stand-in targets recorded that they ran, without calls that they
 * shed before anything took effect.
 * @param files The record files of the targets.
 * @returns The runs, in the order of each file.
 */
export function readRuns(files: readonly string[]): StandInRun[] {
  const runs = files.flatMap(readFile);
  const shed = new Set(
    runs.filter((each) => each.end === "shed").map((each) => each.request),
  );
  return runs.filter((each) => !shed.has(each.request));
}

function readFile(file: string): StandInRun[] {
  if (!existsSync(file)) {
    return []; // nothing was recorded yet
  }
  return readFileSync(file, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as StandInRun);
}
