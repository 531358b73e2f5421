/** Whether a request ran on a target, as far as is known. */
export type Disposition = "not-run" | "ran" | "unknown";
