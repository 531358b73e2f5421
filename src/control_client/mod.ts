export type { ConfirmationListener } from "./announcement_confirmation.ts";
export {
  ControlSession,
  type ControlSessionOptions,
  type ControlSessionStatus,
  defaultJitterMilliseconds,
  type NodeIdentity,
  type NodeReport,
  type ReceivedDocument,
} from "./control_session.ts";
export {
  getReplacementMilliseconds,
  type SessionTiming,
} from "./session_timing.ts";
export {
  type ClaimOutcome,
  type FenceOutcome,
  LedgerClient,
  type LedgerClientOptions,
  type LedgerKey,
} from "./ledger_client.ts";
