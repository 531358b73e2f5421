import { inflateRawSync } from "node:zlib";
import type { Interceptor } from "@grpc/grpc-js";
import { match } from "ts-pattern";
import {
  type Clock,
  getBytesHash,
  type Log,
  type Metrics,
  type RandomSource,
  systemClock,
} from "../common/mod.ts";
import { parseTargetRecord, type TargetRecord } from "../membership/mod.ts";
import type {
  ControlMessage,
  CrashReport,
  DocumentUpdate,
  Hello,
  LinkBytes,
  LinkShare,
  NodeMessage,
  NodePlace,
  PermitGrant,
  PermitRequest,
  Redirect,
  RenewAnswer,
  SuspectUpdate,
  ViewUpdate,
} from "../protocol/generated/session.ts";
import { AnnouncedTargets } from "./announced_targets.ts";
import {
  AnnouncementConfirmation,
  type ConfirmationListener,
} from "./announcement_confirmation.ts";
import { ConnectionSearch } from "./connection_search.ts";
import { ControlAddresses } from "./control_addresses.ts";
import { LinkByteCounter } from "./link_byte_counter.ts";
import { ReceivedViews } from "./received_views.ts";
import type { SessionConnection, SessionEnd } from "./session_connection.ts";
import { SessionFaults } from "./session_faults.ts";
import {
  getMoveDelays,
  getSearchTiming,
  type SearchTiming,
  type SessionTiming,
} from "./session_timing.ts";
import { UnconfirmedMessages } from "./unconfirmed_messages.ts";

/** Identity of a node, as its hello messages state it. */
export type NodeIdentity = Pick<
  Hello,
  | "environment"
  | "nodeId"
  | "incarnation"
  | "region"
  | "availabilityZone"
  | "service"
  | "nodeAddress"
>;

/** Values that a node reports with each renewal. */
export interface NodeReport {
  readonly admissionLevel: number;
  readonly ledgerIndex: number;
  /** Bytes sent since the last report. */
  readonly linkBytes: readonly LinkBytes[];
}

/** State of a session with the control group. */
export interface ControlSessionStatus {
  /** Whether the node has a session with a control instance. */
  readonly connected: boolean;
  readonly controlAddress?: string;
  /** Revision of the document in force; 0 for none. */
  readonly revision: number;
  /**
   * Time since control confirmed the document as the newest one; absent while it
   * never did.
   */
  readonly documentAgeMilliseconds?: number;
  /**
   * Why sessions end again and again because of a message; absent while they do
   * not. The node gets no documents then, although control is reached.
   */
  readonly fault?: string;
}

/** A document part that control sent, after its hash was checked. */
export interface ReceivedDocument {
  readonly revision: number;
  readonly part: Uint8Array;
  /** Version that the operators' own format gives the document; 0 for none. */
  readonly sourceVersion: number;
}

/** The part of a document that the node has. */
interface DocumentPart {
  readonly bytes: Uint8Array;
  readonly hash: string;
}

/** Settings of a control session; times in milliseconds. */
export interface ControlSessionOptions extends Partial<SessionTiming> {
  readonly controlAddresses: readonly string[];
  readonly nodeIdentity: NodeIdentity;
  /** Interceptors that add the authentication token to each call. */
  readonly interceptors?: readonly Interceptor[];
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly log?: Log;
  readonly metrics?: Metrics;
  /** Gets the report of the next renewal. */
  getReport?(): NodeReport;
  /** Called when an instance has accepted the node. */
  onConnected?(): void;
  /** Called with a document part whose revision is higher than the last one. */
  onDocument(document: ReceivedDocument): void;
  /** Called with all targets of a service after each change. */
  onView(service: string, targets: readonly TargetRecord[]): void;
  /**
   * Called with the node's link shares when control sends them, and with their
   * floors when the lease expires.
   */
  onLinkShares(shares: readonly LinkShare[]): void;
  onSuspects(update: SuspectUpdate): void;
  /**
   * Called when a target is to be drained: an operator requests it, or the target
   * was drained before the node restarted.
   */
  onDrainRequest?(targetId: string): void;
  /** Called with a ledger index that control reports as committed. */
  onLedgerIndex?(index: number): void;
  /** Called with the place of the node among all nodes, for its floors. */
  onQuotaPlace?(place: NodePlace): void;
  /** Called with permits that the instance granted in this session. */
  onPermitGrants?(grants: readonly PermitGrant[]): void;
  /** Called when a session has ended; its permit requests get no grants. */
  onSessionEnded?(): void;
  /** Maximum random delay before the node moves to another instance. */
  readonly jitterMilliseconds?: number;
  /** Time after which a connection attempt without an answer is closed. */
  readonly connectTimeoutMilliseconds?: number;
}

/** Maximum jitter of a session, unless its options say otherwise. */
export const defaultJitterMilliseconds = 1000;

const defaults = {
  renewalIntervalMilliseconds: 2000,
  renewalTimeoutMilliseconds: 2000,
  // Spreads the reconnects of all nodes of a lost instance. The renewal interval,
  // the renewal timeout and the jitter together stay below the lease of 6 s.
  jitterMilliseconds: defaultJitterMilliseconds,
  connectTimeoutMilliseconds: 3000,
  isolatedRetryMilliseconds: 10_000,
};

// Control starts the lease when it receives a renewal, the node when it receives
// the answer, which is later. The node therefore ends its lease earlier.
const leaseMarginMilliseconds = 500;
// A renewal timer that fires this late means that the process was paused.
const processPauseMilliseconds = 250;
const outdatedReasons: readonly (string | undefined)[] = [
  "isolated",
  "outdated",
];
// Nodes that start at once and try other instances sooner open sessions at several
// busy ones: with 300 ms, 300 nodes opened 502.
const startAttemptDelayMilliseconds = 700;
const emptyReport: NodeReport = {
  admissionLevel: 0,
  ledgerIndex: 0,
  linkBytes: [],
};

/**
 * Keeps the node's session with one control instance, and moves it to another
 * one when the instance does not answer, is isolated or stops. Meanwhile the
 * node keeps using the document, views and quarantine that it received.
 */
export class ControlSession {
  readonly #options: ControlSessionOptions & typeof defaults;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #announcedTargets: AnnouncedTargets;
  readonly #views = new ReceivedViews();
  readonly #requestedServices = new Set<string>();
  /** Crash reports and suspect clearances that control has not confirmed yet. */
  readonly #unconfirmedMessages = new UnconfirmedMessages();
  readonly #confirmation = new AnnouncementConfirmation({
    renew: () => this.#renew(),
  });
  readonly #search: ConnectionSearch;
  readonly #faults = new SessionFaults();
  /** Sequence of the first renewal of the session. */
  #firstRenewSequence = 0;
  #currentConnection: SessionConnection | undefined;
  readonly #controlAddresses: ControlAddresses;
  /** Address of the session that was lost last. */
  #lastLostAddress: string | undefined;
  /** Monotonic time at which the session was lost or, before the first one, started. */
  #lostAt: number | undefined;
  /** Whether the search accepts isolated instances. */
  #acceptsIsolated = false;
  #renewTimer: NodeJS.Timeout | undefined;
  #moveTimer: NodeJS.Timeout | undefined;
  #leaseTimer: NodeJS.Timeout | undefined;
  #sessionSequence = 0;
  #renewSequence = 0;
  #answeredSequence = 0;
  #renewDueAt = 0;
  #unansweredSince: number | undefined;
  #failedSearches = 0;
  #revision = 0;
  /** Time at which control last confirmed that no newer document exists. */
  #documentConfirmedAt = -Infinity;
  #documentPart: DocumentPart | undefined;
  #loggedStatedRevision: number | undefined;
  /** Time since which the instance states a newer document without sending one. */
  #documentMissingSince: number | undefined;
  readonly #linkByteCounter = new LinkByteCounter();
  #linkShares: readonly LinkShare[] = [];
  #onStreamEnded: (() => void) | undefined;
  #onConnected: (() => void) | undefined;
  #hasLease = false;
  /** Whether this process had a session. */
  #hadSession = false;
  #hasQuotaPlace = false;
  #isStopping = false;
  #isStopped = false;

  constructor(options: ControlSessionOptions) {
    this.#options = { ...defaults, ...options };
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#announcedTargets = new AnnouncedTargets(this.#clock);
    this.#controlAddresses = new ControlAddresses(options.controlAddresses);
    this.#lostAt = this.#clock.monotonicMilliseconds();
    this.#search = new ConnectionSearch({
      interceptors: options.interceptors ?? [],
      connectTimeoutMilliseconds: this.#options.connectTimeoutMilliseconds,
      log: options.log,
      createHello: (state) => this.#createHello(state),
      onAccepted: (connection) => this.#activateConnection(connection),
      onMessage: (connection, message) => this.#onMessage(connection, message),
      onNotSent: (message, reason) => this.#onNotSent(message, reason),
      onEnded: (connection, end) => this.#onConnectionEnded(connection, end),
      onHelloFault: (reason) => this.#onSessionFault(reason),
      onExhausted: () => this.#onSearchExhausted(),
    });
    this.#scheduleMove(this.#random() * this.#options.jitterMilliseconds / 4);
  }

  /**
   * Announces the node's target, or a new state of it. The session sets the
   * sequence, and announces the target again after each move.
   * @param record The target; its `sequence` is ignored. One with a value that
   * cannot be sent is logged and dropped; the former one stays announced.
   * @param listener Waits for the confirmation of the announcement, unless another
   * one is made before.
   */
  announce(record: TargetRecord, listener?: ConfirmationListener): void {
    if (parseTargetRecord(record) === undefined) {
      // Control could not read it, and would end each session that announces it.
      this.#options.log?.error("announcement not sent", {
        target: record.targetId,
        state: record.state,
        incarnation: record.incarnation,
        reason: "a value cannot be sent",
      });
      this.#options.metrics?.increment("announcements.invalid", {});
      return;
    }
    this.#confirmation.setListener(listener);
    const sent = this.#announcedTargets.set({
      ...record,
      nodeId: this.#options.nodeIdentity.nodeId,
    });
    this.#sendAnnouncement(sent);
    if (record.state === "left") {
      // Gets the announcement confirmed before the next scheduled renewal.
      this.#renew();
    }
  }

  /** Reports a crash of the target; sent again until control confirms it. */
  reportCrash(report: CrashReport): void {
    this.#sendUntilConfirmed({ $case: "crashReport", crashReport: report });
  }

  /**
   * Reports that a suspect request completed without a crash; sent again until
   * control confirms it.
   */
  clearSuspect(fingerprint: string): void {
    this.#sendUntilConfirmed({
      $case: "suspectCleared",
      suspectCleared: { fingerprint },
    });
  }

  /** Sends a permit request; without a session, it is dropped. */
  requestPermits(request: PermitRequest): void {
    this.#currentConnection?.send({
      $case: "permitRequest",
      permitRequest: request,
    });
  }

  /** Replaces the addresses of the settings. */
  setControlAddresses(addresses: readonly string[]): void {
    this.#controlAddresses.setConfigured(addresses);
  }

  /**
   * Requests the targets of a service that the document does not declare as
   * called by the node's service.
   * @param service The service.
   */
  requestView(service: string): void {
    if (!this.#requestedServices.has(service)) {
      this.#requestedServices.add(service);
      this.#sendViewRequest(service);
    }
  }

  getStatus(): ControlSessionStatus {
    return {
      connected: this.#currentConnection !== undefined,
      ...(this.#currentConnection !== undefined &&
        { controlAddress: this.#currentConnection.address }),
      revision: this.#revision,
      ...(Number.isFinite(this.#documentConfirmedAt) && {
        documentAgeMilliseconds: Math.round(this.#getDocumentAge()),
      }),
      ...(this.#faults.reason !== undefined && { fault: this.#faults.reason }),
    };
  }

  /**
   * Reports whether control has confirmed the document as the newest one within
   * a renewal interval and its timeout. An isolated instance cannot do that.
   */
  get isDocumentConfirmed(): boolean {
    const { renewalIntervalMilliseconds, renewalTimeoutMilliseconds } =
      this.#options;
    return this.#getDocumentAge() <=
      renewalIntervalMilliseconds + renewalTimeoutMilliseconds;
  }

  /** Gets the control addresses, the one of the current session first. */
  getControlAddresses(): readonly string[] {
    const current = this.#currentConnection?.address;
    const addresses = this.#controlAddresses.getAll();
    return current === undefined
      ? addresses
      : [current, ...addresses.filter((each) => each !== current)];
  }

  /**
   * Ends the session and the lease. While the session moves, this first waits
   * for a connection to another instance, at most for the renewal timeout.
   * Resolves when the instance ends the session, or after another renewal
   * timeout.
   */
  async stop(): Promise<void> {
    if (this.#isStopped || this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    if (this.#currentConnection === undefined && this.#hasLease) {
      // Without a leave message, control would list the targets until the lease
      // expires.
      await new Promise<void>((resolve) => {
        const timer = setTimeout(
          resolve,
          this.#options.renewalTimeoutMilliseconds,
        );
        this.#onConnected = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.#isStopped = true;
    clearTimeout(this.#moveTimer);
    clearTimeout(this.#renewTimer);
    clearTimeout(this.#leaseTimer);
    this.#confirmation.setListener(undefined);
    this.#search.stop();
    const current = this.#currentConnection;
    if (current === undefined) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(
        resolve,
        this.#options.renewalTimeoutMilliseconds,
      );
      this.#onStreamEnded = () => {
        clearTimeout(timer);
        resolve();
      };
      current.send({ $case: "leave", leave: {} });
    });
    current.close();
    this.#currentConnection = undefined;
  }

  #getDocumentAge(): number {
    return this.#clock.monotonicMilliseconds() - this.#documentConfirmedAt;
  }

  /**
   * Handles the newest revision that the instance knows.
   * @param statedRevision The revision; 0 if it cannot confirm any.
   */
  #onStatedRevision(statedRevision: number): void {
    const isOverdue = this.#isDocumentOverdue(statedRevision);
    if (statedRevision === this.#revision && statedRevision > 0) {
      this.#documentConfirmedAt = this.#clock.monotonicMilliseconds();
      this.#loggedStatedRevision = statedRevision;
      return;
    }
    if (statedRevision !== this.#loggedStatedRevision) {
      this.#loggedStatedRevision = statedRevision;
      this.#logStatedRevision(statedRevision);
    }
    // An instance of an earlier release does not redirect nodes when it is behind.
    const isBehind = statedRevision > 0 && statedRevision < this.#revision;
    if (isBehind || isOverdue) {
      this.#scheduleMove(this.#getMoveDelay(true));
    }
  }

  /**
   * Reports whether the instance has stated a newer document for a renewal interval
   * without sending any. What it sends before an answer arrives before it.
   */
  #isDocumentOverdue(statedRevision: number): boolean {
    if (statedRevision <= this.#revision) {
      this.#documentMissingSince = undefined;
      return false;
    }
    const now = this.#clock.monotonicMilliseconds();
    this.#documentMissingSince ??= now;
    return now - this.#documentMissingSince >=
      this.#options.renewalIntervalMilliseconds;
  }

  /** Logs a revision of control that differs from the one in force. */
  #logStatedRevision(statedRevision: number): void {
    const { documentAgeMilliseconds } = this.getStatus();
    this.#options.log?.info("revision stated by control", {
      address: this.#currentConnection?.address,
      statedRevision,
      revision: this.#revision,
      ageMilliseconds: documentAgeMilliseconds,
    });
  }

  /** Schedules a search for another instance, unless one is scheduled. */
  #scheduleMove(
    delayMilliseconds: number,
    preferred: readonly string[] = [],
  ): void {
    if (this.#isStopped || this.#moveTimer !== undefined) {
      return;
    }
    this.#moveTimer = setTimeout(() => {
      this.#moveTimer = undefined;
      this.#startSearch(preferred);
    }, delayMilliseconds);
  }

  /**
   * Tries to connect to all other instances. Preferred addresses come first,
   * and the instance whose session was lost most recently comes last.
   */
  #startSearch(preferred: readonly string[]): void {
    const others = this.#controlAddresses.getShuffled(this.#random)
      .filter((address) => address !== this.#currentConnection?.address);
    const getRank = (address: string): number =>
      address === this.#lastLostAddress
        ? 2
        : preferred.includes(address)
        ? 0
        : 1;
    this.#acceptsIsolated = false;
    this.#search.start(
      others.toSorted((a, b) => getRank(a) - getRank(b)),
      { ...this.#getSearchTiming(), acceptsIsolated: false },
    );
  }

  #onSearchExhausted(): void {
    if (this.#isStopped) {
      return;
    }
    if (this.#currentConnection !== undefined) {
      // An isolated instance still keeps leases and knows the targets on its
      // side of a partition. The session therefore stays there, and searches
      // again later.
      this.#scheduleMove(
        this.#options.isolatedRetryMilliseconds * (0.5 + this.#random()),
      );
      return;
    }
    if (!this.#acceptsIsolated) {
      this.#acceptsIsolated = true;
      this.#search.start(this.#controlAddresses.getShuffled(this.#random), {
        ...this.#getSearchTiming(),
        acceptsIsolated: true,
      });
      return;
    }
    if (this.#search.hasPendingAttempts) {
      // Instances that do not answer slow the search down by themselves.
      this.#scheduleMove(0);
      return;
    }
    this.#failedSearches++;
    const backoffMilliseconds = Math.min(
      this.#options.jitterMilliseconds * 2 ** this.#failedSearches,
      this.#options.renewalTimeoutMilliseconds,
    );
    this.#scheduleMove(backoffMilliseconds * (0.5 + this.#random() / 2));
  }

  #getSearchTiming(): SearchTiming {
    const timing = getSearchTiming(this.#options);
    const isFirst = this.#currentConnection === undefined &&
      this.#lastLostAddress === undefined;
    return isFirst
      ? { ...timing, attemptDelayMilliseconds: startAttemptDelayMilliseconds }
      : timing;
  }

  #createHello({ acceptsIsolated }: { acceptsIsolated: boolean }): Hello {
    this.#sessionSequence = Math.max(
      this.#sessionSequence + 1,
      this.#clock.now().getTime(),
    );
    return {
      ...this.#options.nodeIdentity,
      sessionSequence: this.#sessionSequence,
      revision: this.#revision,
      viewDigests: this.#views.getDigests(),
      partHash: this.#documentPart?.hash ?? "",
      acceptsIsolated,
      firstSession: !this.#hadSession,
    };
  }

  /** Makes a connection the session, after its instance accepted the hello. */
  #activateConnection(connection: SessionConnection): void {
    clearTimeout(this.#moveTimer);
    this.#moveTimer = undefined;
    const previous = this.#currentConnection;
    this.#currentConnection = connection;
    this.#failedSearches = 0;
    previous?.close();
    this.#logConnected(connection);
    if (connection.sessionSequence !== this.#sessionSequence) {
      // Another instance received a later hello, which control would treat as
      // the newer session.
      const hello = this.#createHello(connection);
      connection.sessionSequence = hello.sessionSequence;
      connection.send({ $case: "hello", hello });
    }
    this.#hadSession = true;
    this.#firstRenewSequence = this.#renewSequence + 1;
    this.#endPermitRequests();
    this.#unansweredSince = undefined;
    this.#documentMissingSince = undefined;
    this.#confirmation.setCollecting(false);
    this.#announcedTargets.assignNewSequences().forEach((each) =>
      this.#sendAnnouncement(each)
    );
    this.#requestedServices.forEach((each) => this.#sendViewRequest(each));
    this.#unconfirmedMessages.getAllForResend(this.#renewSequence + 1)
      .forEach((message) => connection.send(message));
    this.#scheduleRenew(
      this.#random() * this.#options.renewalIntervalMilliseconds,
    );
    this.#onConnected?.();
    this.#options.onConnected?.();
  }

  #logConnected({ address, acceptsIsolated }: SessionConnection): void {
    const lostAt = this.#lostAt;
    this.#lostAt = undefined;
    const lostMilliseconds = lostAt === undefined
      ? undefined
      : this.#clock.monotonicMilliseconds() - lostAt;
    this.#options.log?.info("control-connected", {
      address,
      lostMilliseconds: lostMilliseconds && Math.round(lostMilliseconds),
      acceptsIsolated,
    });
    if (lostMilliseconds !== undefined) {
      this.#options.metrics?.observe(
        "control.session_lost_milliseconds",
        lostMilliseconds,
        {},
      );
    }
  }

  #onConnectionEnded(connection: SessionConnection, end: SessionEnd): void {
    if (connection !== this.#currentConnection) {
      return;
    }
    if (this.#isStopped) {
      this.#onStreamEnded?.();
      return;
    }
    if (end.isProtocolError) {
      this.#onSessionFault(end.reason);
    }
    this.#onSessionLost(end.reason);
  }

  #onSessionFault(reason: string): void {
    const sessions = this.#faults.record(reason);
    this.#options.metrics?.increment("control.session_faults", {});
    if (this.#faults.reason !== undefined) {
      this.#options.log?.error("sessions end again and again", {
        reason,
        sessions,
        revision: this.#revision,
      });
    }
  }

  #onNotSent(message: NodeMessage["message"], reason: string): void {
    const kind = message?.$case ?? "none";
    this.#options.metrics?.increment("control.messages_not_sent", { kind });
    this.#options.log?.error("message not sent to control", {
      message: kind,
      reason,
    });
  }

  /**
   * Closes the session and schedules a move to another instance.
   * @param reason Why the session was lost, for the log.
   * @param maximumDelayMilliseconds Maximum random delay of the move.
   */
  #onSessionLost(
    reason: string,
    maximumDelayMilliseconds = this.#options.jitterMilliseconds,
  ): void {
    this.#lastLostAddress = this.#currentConnection?.address;
    this.#options.log?.warn("control-lost", {
      address: this.#lastLostAddress,
      reason,
    });
    this.#currentConnection?.close();
    this.#currentConnection = undefined;
    this.#lostAt = this.#clock.monotonicMilliseconds();
    this.#endPermitRequests();
    clearTimeout(this.#renewTimer);
    this.#confirmation.stop();
    this.#linkByteCounter.onSessionLost();
    clearTimeout(this.#moveTimer);
    this.#moveTimer = undefined;
    if (!this.#search.isActive) {
      this.#scheduleMove(this.#random() * maximumDelayMilliseconds);
    }
  }

  #endPermitRequests(): void {
    this.#hasQuotaPlace = false;
    this.#options.onSessionEnded?.();
  }

  #onQuotaPlace(place: NodePlace): void {
    this.#options.onQuotaPlace?.(place);
    if (!this.#hasQuotaPlace) {
      this.#hasQuotaPlace = true;
      // The instance counts the node only once it knows that the node has it.
      this.#renew();
    }
  }

  #scheduleRenew(delayMilliseconds: number): void {
    this.#renewDueAt = this.#clock.monotonicMilliseconds() + delayMilliseconds;
    clearTimeout(this.#renewTimer);
    this.#renewTimer = setTimeout(() => this.#renew(), delayMilliseconds);
  }

  /** Sends a renewal, and gets its sequence; `undefined` if it is not sent. */
  #renew(): number | undefined {
    const current = this.#currentConnection;
    if (current === undefined || this.#isStopped) {
      return undefined;
    }
    const now = this.#clock.monotonicMilliseconds();
    const unansweredMilliseconds = now - (this.#unansweredSince ?? now);
    if (unansweredMilliseconds >= this.#options.renewalTimeoutMilliseconds) {
      if (now - this.#renewDueAt > processPauseMilliseconds) {
        // This process was paused, so the answer may be unread in the socket.
        this.#scheduleRenew(processPauseMilliseconds);
      } else {
        const { lostMilliseconds } = getMoveDelays(
          this.#options.jitterMilliseconds,
        );
        this.#onSessionLost(
          "no answer within the renewal timeout",
          lostMilliseconds,
        );
      }
      return undefined;
    }
    const report = this.#options.getReport?.() ?? emptyReport;
    this.#renewSequence++;
    this.#unansweredSince ??= now;
    current.send({
      $case: "renew",
      renew: {
        sequence: this.#renewSequence,
        revision: this.#revision,
        linkBytes: this.#linkByteCounter.createReport(report.linkBytes),
        admissionLevel: report.admissionLevel,
        ledgerIndex: report.ledgerIndex,
        answeredSequence: this.#answeredSequence,
      },
    });
    // The next renewal also detects the timeout, so it is due by then.
    this.#scheduleRenew(
      Math.min(
        this.#options.renewalIntervalMilliseconds,
        this.#unansweredSince + this.#options.renewalTimeoutMilliseconds - now,
      ),
    );
    return this.#renewSequence;
  }

  #onMessage(connection: SessionConnection, { message }: ControlMessage): void {
    if (connection !== this.#currentConnection) {
      return;
    }
    match(message)
      .with(
        { $case: "renewAnswer" },
        ({ renewAnswer }) => this.#onRenewAnswer(renewAnswer),
      )
      .with(
        { $case: "permitGrants" },
        ({ permitGrants }) =>
          this.#options.onPermitGrants?.(permitGrants.grants),
      )
      .with({ $case: "document" }, ({ document }) => this.#onDocument(document))
      .with({ $case: "view" }, ({ view }) => this.#onView(view))
      .with(
        { $case: "suspects" },
        ({ suspects }) => this.#options.onSuspects(suspects),
      )
      .with({ $case: "redirect" }, ({ redirect }) => this.#onRedirect(redirect))
      .with(
        { $case: "drainTarget" },
        ({ drainTarget }) =>
          this.#options.onDrainRequest?.(drainTarget.targetId),
      )
      .with({ $case: "staleAnnouncement" }, ({ staleAnnouncement }) => {
        const known = staleAnnouncement.known;
        const record = known === undefined
          ? undefined
          : parseTargetRecord(known);
        if (record !== undefined) {
          this.#onStaleAnnouncement(record);
        }
      })
      .otherwise(() => {});
  }

  #onRenewAnswer(answer: RenewAnswer): void {
    if (answer.sequence >= this.#renewSequence) {
      this.#unansweredSince = undefined;
      this.#linkByteCounter.onAnswered();
    } else if (this.#unansweredSince !== undefined) {
      this.#unansweredSince = this.#clock.monotonicMilliseconds();
    }
    if (
      answer.sequence >= this.#firstRenewSequence && this.#faults.reset()
    ) {
      this.#options.log?.info("session holds again", {
        address: this.#currentConnection?.address,
      });
    }
    this.#onStatedRevision(answer.revision);
    this.#views.takeDueRequests(this.#clock.monotonicMilliseconds())
      .forEach((service) => this.#sendViewRequest(service));
    this.#answeredSequence = answer.sequence;
    this.#announcedTargets.confirm(answer.sequence);
    this.#unconfirmedMessages.confirm(answer.sequence);
    this.#confirmation.onRenewAnswer({
      sequence: answer.sequence,
      // Only such an instance states a revision, once there is a document.
      hasMajority: answer.revision > 0,
      hasAllRecords: answer.hasAllRecords,
    });
    if (answer.ledgerIndex > 0) {
      this.#options.onLedgerIndex?.(answer.ledgerIndex);
    }
    if (answer.controlAddresses.length > 0) {
      this.#controlAddresses.setReported(answer.controlAddresses);
    }
    this.#hasLease = true;
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => this.#onLeaseEnd(),
      answer.leaseMilliseconds - leaseMarginMilliseconds,
    );
    if (answer.quotaPlace !== undefined) {
      this.#onQuotaPlace(answer.quotaPlace);
    }
    if (answer.linkShares.length > 0) {
      this.#linkShares = answer.linkShares;
      this.#options.onLinkShares(this.#linkShares);
    }
  }

  /**
   * Falls back to the floors of the link shares, which control reserves for a
   * node without a lease.
   */
  #onLeaseEnd(): void {
    this.#hasLease = false;
    if (this.#linkShares.length > 0) {
      this.#options.onLinkShares(this.#linkShares.map((share) => ({
        ...share,
        bytesPerSecond: share.floorBytesPerSecond,
      })));
    }
  }

  #onDocument(update: DocumentUpdate): void {
    if (update.revision <= this.#revision) {
      return;
    }
    const part = update.part.length > 0
      ? decodeDocumentPart(update.part)
      : this.#documentPart;
    if (part === undefined || part.hash !== update.partHash) {
      this.#options.log?.error("document-damaged", {
        revision: update.revision,
        sourceVersion: update.sourceVersion || undefined,
        hasPart: update.part.length > 0,
      });
      this.#options.metrics?.increment("documents.damaged", {});
      // The instance sends it once in a session, unless the next hello says that
      // the node lacks it.
      this.#onSessionLost("the document is damaged");
      return;
    }
    try {
      this.#options.onDocument({
        revision: update.revision,
        part: part.bytes,
        sourceVersion: update.sourceVersion,
      });
    } catch (error) {
      this.#options.log?.error("document not applied", {
        revision: update.revision,
        sourceVersion: update.sourceVersion || undefined,
        message: error instanceof Error ? error.message : String(error),
      });
      this.#options.metrics?.increment("documents.not_applied", {});
      this.#onSessionLost("the document could not be applied");
      return;
    }
    this.#documentPart = part;
    this.#revision = update.revision;
    this.#documentMissingSince = undefined;
    this.#renew();
  }

  #onView(update: ViewUpdate): void {
    this.#confirmation.setCollecting(update.collecting);
    const now = this.#clock.monotonicMilliseconds();
    const { targets, needsRequest } = this.#views.apply(update, now);
    if (needsRequest) {
      this.#sendViewRequest(update.service);
    }
    this.#options.onView(update.service, targets);
  }

  #onRedirect({ refusal }: Redirect): void {
    this.#options.log?.info("control-redirect", { reason: refusal?.reason });
    if (refusal?.reason === "lease-lost") {
      // The instance ends the stream next, which starts a new search.
      return;
    }
    clearTimeout(this.#moveTimer);
    this.#moveTimer = undefined;
    this.#scheduleMove(
      this.#getMoveDelay(outdatedReasons.includes(refusal?.reason)),
      refusal?.controlAddresses,
    );
  }

  #getMoveDelay(isOutdated: boolean): number {
    const { jitterMilliseconds } = this.#options;
    return this.#random() *
      (isOutdated
        ? getMoveDelays(jitterMilliseconds).outdatedMilliseconds
        : jitterMilliseconds);
  }

  #onStaleAnnouncement(known: TargetRecord): void {
    if (this.#announcedTargets.isDrainForgotten(known)) {
      this.#options.log?.info("drain restored", {
        target: known.targetId,
        incarnation: known.drainedIncarnation,
      });
      this.#options.onDrainRequest?.(known.targetId);
      return;
    }
    const newerRecord = this.#announcedTargets.supersede(known);
    if (newerRecord === undefined) {
      this.#options.log?.warn("target-replaced", {
        target: known.targetId,
        node: known.nodeId,
      });
    } else {
      this.#sendAnnouncement(newerRecord);
    }
  }

  #sendAnnouncement(record: TargetRecord): void {
    this.#announcedTargets.setConfirmingSequence(
      record.targetId,
      this.#renewSequence + 1,
    );
    this.#currentConnection?.send({
      $case: "announcement",
      announcement: { record },
    });
    this.#confirmation.onSent();
  }

  #sendViewRequest(service: string): void {
    this.#currentConnection?.send({
      $case: "viewRequest",
      viewRequest: { service },
    });
  }

  #sendUntilConfirmed(message: NodeMessage["message"]): void {
    const dropped = this.#unconfirmedMessages.add(
      message,
      this.#renewSequence + 1,
    );
    if (dropped !== undefined) {
      this.#options.log?.warn("unconfirmed message dropped", {
        message: dropped.$case,
        reason: "too many messages wait for confirmation by control",
      });
    }
    this.#currentConnection?.send(message);
  }
}

/** Decompresses a part of a document; `undefined` when it is malformed. */
function decodeDocumentPart(compressed: Uint8Array): DocumentPart | undefined {
  try {
    const bytes = inflateRawSync(compressed);
    return { bytes, hash: getBytesHash(bytes) };
  } catch {
    // The caller logs it like a part with another hash.
    return undefined;
  }
}
