export type { ConfirmationListener } from "./announcement_confirmation.ts";
export {
  ControlSession,
  type ControlSessionOptions,
  type ControlSessionStatus,
  type NodeIdentity,
  type NodeReport,
  type ReceivedDocument,
  type SessionTiming,
} from "./control_session.ts";
export {
  type ClaimOutcome,
  type FenceOutcome,
  LedgerClient,
  type LedgerClientOptions,
  type LedgerKey,
} from "./ledger_client.ts";
