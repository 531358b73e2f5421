import { readFileSync } from "node:fs";

/** Clock ticks per second in /proc, which are always 100 on Linux. */
const ticksPerSecond = 100;

/**
 * Gets the processor time that all threads of a process have used.
 * @param id Process id.
 * @returns Milliseconds.
 */
export function getProcessorMilliseconds(id: number): number {
  const text = readFileSync(`/proc/${id}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) * 1000 / ticksPerSecond;
}

/**
 * Gets the resident memory of a process.
 * @param id Process id.
 * @returns Mebibytes.
 */
export function getResidentMebibytes(id: number): number {
  const text = readFileSync(`/proc/${id}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1]) / 1024;
}
