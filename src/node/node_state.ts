import type { LevelTable } from "../admission/mod.ts";
import type { Clock, Log, RandomSource } from "../common/mod.ts";
import type { NodeQuotas } from "../quotas/mod.ts";
import type { ResendCounter } from "../retries/mod.ts";
import type { Router } from "../routing/mod.ts";
import type { NodeSettings } from "../settings/mod.ts";
import type { SuspectList } from "../suspects/mod.ts";
import type { BodyMemoryBudget } from "./body_memory_budget.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { CallCounters } from "./call_counters.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { DeadlineTimers } from "./deadline_timers.ts";
import type { DocumentView } from "./document_view.ts";
import type { LedgerPort } from "./ledger_port.ts";
import type { PeerCredential } from "./peer_credential.ts";

/** State that the components of a node share. */
export interface NodeState {
  readonly settings: NodeSettings;
  readonly protocol: CallProtocol;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: RandomSource;
  /** Logs decisions about requests. */
  readonly decisions: DecisionLog;
  readonly counters: CallCounters;
  readonly bodyMemory: BodyMemoryBudget;
  readonly timers: DeadlineTimers;
  readonly router: Router;
  readonly suspects: SuspectList;
  /** Permits for requests of tenants with quotas. */
  readonly quotas: NodeQuotas;
  /** Counts requests that callers send again with the same key. */
  readonly resends: ResendCounter;
  /** Sent to other nodes and required from them; absent without a token. */
  readonly peerCredential: PeerCredential | undefined;
  ledger: LedgerPort;
  /** The document in force; `undefined` until the first one. */
  view: DocumentView | undefined;
  /** Checks whether control has confirmed lately that the document is the newest. */
  isDocumentConfirmed: () => boolean;
  /** Admission levels of other services; recreated when the classes change. */
  levels: LevelTable;
  /** Whether new calls are refused because the process stops. */
  isStopping: boolean;
  /**
   * Whether calls of callers outside are also refused if they were accepted but
   * not sent to a target, because the stop has almost reached its limit.
   */
  isStopLimitNear: boolean;
  /** Whether calls are ended at once, without waiting for the ledger. */
  isStopLimitReached: boolean;
}
