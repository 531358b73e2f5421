export {
  ClaimLedger,
  completionGraceMilliseconds,
  type LedgerEntry,
  type LedgerUsage,
  maximumDeadlineMilliseconds,
} from "./claim_ledger.ts";
export { recordBytes } from "./claim_table.ts";
export { heldAnswerLimitBytes } from "./held_answers.ts";
