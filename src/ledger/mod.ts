export {
  type ClaimCounts,
  ClaimLedger,
  type LedgerEntry,
  longestDeadlineMilliseconds,
  marginMilliseconds,
} from "./claim_ledger.ts";
export { recordBytes } from "./claim_table.ts";
export { heldAnswerLimitBytes } from "./held_answers.ts";
