export type { Disposition } from "./disposition.ts";
export { type RefusalReason, refusalReasons } from "./refusal_reason.ts";
