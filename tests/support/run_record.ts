import { existsSync, readFileSync } from "node:fs";
import type { StandInRun } from "./stand_in_run.ts";

/**
 * Reads which calls stand-in targets ran, without those that they shed before
 * the call had any effect.
 * @param files The record files of the targets.
 * @returns The runs, file by file, each in the order of its file.
 */
export function readRuns(files: readonly string[]): StandInRun[] {
  const runs = files.flatMap(readRecord);
  const shed = new Set(
    runs.filter((each) => each.end === "shed").map((each) => each.request),
  );
  return runs.filter((each) =>
    !shed.has(each.request) && each.end !== "call-broken" &&
    each.end !== "call-refused"
  );
}

/**
 * Reads every entry of a record file.
 * @param file The record file of a target.
 * @returns The entries in the order of the file.
 */
export function readRecord(file: string): StandInRun[] {
  if (!existsSync(file)) {
    return []; // no call was recorded yet
  }
  // The last line may still be being written.
  return readFileSync(file, "utf8").split("\n").slice(0, -1)
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as StandInRun);
}
