/** What is known about whether a request ran on a target. */
export type Disposition = "not-run" | "ran" | "unknown";
