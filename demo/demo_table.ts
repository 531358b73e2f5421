import type { ClassResult } from "./demo_load.ts";
import type { FleetCounters } from "./fleet_counters.ts";

/**
 * Formats the results as a table with one row for each class.
 * @param results Outcomes of the calls by class.
 * @param fleet Counters of the nodes and targets.
 * @returns Lines of text.
 */
export function formatResultTable(
  results: readonly ClassResult[],
  fleet: FleetCounters,
): string {
  const rows = [[
    "class",
    "sent",
    "completed",
    "refused by reason",
    "retried by reason",
    "run more than once",
  ]];
  for (const result of results) {
    rows.push([
      result.name,
      String(result.sent),
      String(result.completed),
      formatCounts(result.refused),
      formatCounts(fleet.retried.get(result.name) ?? new Map()),
      String(fleet.repeated.get(result.name) ?? "-"),
    ]);
  }
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? "").length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  const parts = [...counts].toSorted((a, b) => b[1] - a[1])
    .map(([reason, count]) => `${reason} ${count}`);
  return parts.length === 0 ? "-" : parts.join(", ");
}
