import { inflateRawSync } from "node:zlib";
import type { Interceptor } from "@grpc/grpc-js";
import { match } from "ts-pattern";
import {
  type Clock,
  getBytesHash,
  type Log,
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
  Redirect,
  RenewAnswer,
  SuspectUpdate,
  ViewUpdate,
} from "../protocol/generated/session.ts";
import { AnnouncedTargets } from "./announced_targets.ts";
import { ControlAddresses } from "./control_addresses.ts";
import { LinkByteReport } from "./link_byte_report.ts";
import { ReceivedViews } from "./received_views.ts";
import { SessionConnection } from "./session_connection.ts";
import { UnconfirmedMessages } from "./unconfirmed_messages.ts";

/** Who the node is. */
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

/** What a node reports with each renewal. */
export interface NodeReport {
  readonly admissionLevel: number;
  readonly ledgerIndex: number;
  /** Bytes sent since the last report. */
  readonly linkBytes: readonly LinkBytes[];
}

/** State of a session with the control group. */
export interface ControlSessionStatus {
  /** Whether a control instance answered within the silence limit. */
  readonly connected: boolean;
  readonly controlAddress?: string;
  /** Revision of the document in force; 0 for none. */
  readonly revision: number;
}

/** How fast a session notices that its instance is lost. */
export interface SessionTiming {
  /** Time between two renewals. */
  readonly renewMilliseconds: number;
  /** Time after which an unanswered renewal ends the session. */
  readonly silenceMilliseconds: number;
}

/** Settings of a control session; times in milliseconds. */
export interface ControlSessionOptions extends Partial<SessionTiming> {
  readonly controlAddresses: readonly string[];
  readonly nodeIdentity: NodeIdentity;
  /** Adds the token to each call. */
  readonly interceptors?: readonly Interceptor[];
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly log?: Log;
  /** Gets the report of the next renewal. */
  getReport?(): NodeReport;
  /** Called with higher revisions only. */
  onDocument(revision: number, part: Uint8Array, digest: string): void;
  /** Called with all targets of a service after each change. */
  onView(service: string, targets: readonly TargetRecord[]): void;
  /** Called with the shares after each change; also when the lease ran out. */
  onLinkShares(shares: readonly LinkShare[]): void;
  onSuspects(update: SuspectUpdate): void;
  /** Called when an operator asks for a target to be drained. */
  onDrainRequest?(targetId: string): void;
  /** Called with a ledger index that is known as committed. */
  onLedgerIndex?(index: number): void;
  readonly jitterMilliseconds?: number;
  readonly attemptMilliseconds?: number;
  readonly isolatedRetryMilliseconds?: number;
}

const defaults = {
  renewMilliseconds: 2000,
  silenceMilliseconds: 2000,
  // Spreads the nodes of a lost instance; renewals, silence and jitter together
  // stay below the lease of 6 s.
  jitterMilliseconds: 1000,
  attemptMilliseconds: 3000,
  isolatedRetryMilliseconds: 10_000,
};

// Control counts the lease from the renewal, the node from its answer.
const leaseMarginMilliseconds = 500;
// An instance that does not answer within this time does not keep the next one
// from being tried beside it. 300 ms led 300 nodes that start at once to open
// 502 sessions on busy instances.
const staggerMilliseconds = 700;
const standstillMilliseconds = 250;
// An isolated instance gives out no new document, so its nodes hurry.
const isolatedJitterPart = 0.5;
const longestPauseMilliseconds = 2000;
const idleReport: NodeReport = {
  admissionLevel: 0,
  ledgerIndex: 0,
  linkBytes: [],
};

/**
 * Holds the node's session with one control instance and moves it to another
 * one when that does not answer, is isolated or stops. What the node was sent
 * stays in force meanwhile.
 */
export class ControlSession {
  readonly #options: ControlSessionOptions & typeof defaults;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #targets: AnnouncedTargets;
  readonly #views = new ReceivedViews();
  readonly #requestedServices = new Set<string>();
  /** Crash reports and clearances that no renewal confirmed yet. */
  readonly #unconfirmed = new UnconfirmedMessages();
  readonly #attempts = new Set<SessionConnection>();
  #current: SessionConnection | undefined;
  readonly #controlAddresses: ControlAddresses;
  /** Address of the session that was lost last. */
  #lostAddress: string | undefined;
  #candidates: string[] = [];
  #acceptsIsolated = false;
  #attemptTimer: NodeJS.Timeout | undefined;
  #renewTimer: NodeJS.Timeout | undefined;
  #moveTimer: NodeJS.Timeout | undefined;
  #leaseTimer: NodeJS.Timeout | undefined;
  #sessionSequence = 0;
  #renewSequence = 0;
  #answeredSequence = 0;
  #renewDueAt = 0;
  #unansweredSince: number | undefined;
  #failedCycles = 0;
  #revision = 0;
  #part: { bytes: Uint8Array; hash: string } | undefined;
  readonly #linkBytes = new LinkByteReport();
  #shares: readonly LinkShare[] = [];
  #onStopped: (() => void) | undefined;
  #onAdopted: (() => void) | undefined;
  #hasLease = false;
  #isStopping = false;
  #isStopped = false;

  constructor(options: ControlSessionOptions) {
    this.#options = { ...defaults, ...options };
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#targets = new AnnouncedTargets(this.#clock);
    this.#controlAddresses = new ControlAddresses(options.controlAddresses);
    this.#scheduleMove(this.#random() * this.#options.jitterMilliseconds / 4);
  }

  /**
   * Announces the target beside the node, or a new state of it. The session
   * sets the sequence, and repeats the announcement after each move.
   * @param record The target; its `sequence` is ignored.
   */
  announce(record: TargetRecord): void {
    const sent = this.#targets.set({
      ...record,
      nodeId: this.#options.nodeIdentity.nodeId,
    });
    this.#sendAnnouncement(sent);
    if (record.state === "left") {
      // Confirms the announcement sooner than the next regular renewal.
      this.#renew();
    }
  }

  /** Reports a crash of the target; repeated until an instance has it. */
  reportCrash(report: CrashReport): void {
    this.#sendConfirmed({ $case: "crashReport", crashReport: report });
  }

  /** Reports that a suspect completed. */
  clearSuspect(fingerprint: string): void {
    this.#sendConfirmed({
      $case: "suspectCleared",
      suspectCleared: { fingerprint },
    });
  }

  /** Replaces the addresses of the settings. */
  setControlAddresses(addresses: readonly string[]): void {
    this.#controlAddresses.setConfigured(addresses);
  }

  /**
   * Asks for the targets of a service to which the document declares no call
   * of the node's service.
   * @param service The service.
   */
  requestView(service: string): void {
    if (!this.#requestedServices.has(service)) {
      this.#requestedServices.add(service);
      this.#sendViewRequest(service);
    }
  }

  /** Renews at once, so that control learns of a new revision or level. */
  renewNow(): void {
    this.#renew();
  }

  getStatus(): ControlSessionStatus {
    return {
      connected: this.#current !== undefined,
      ...(this.#current !== undefined &&
        { controlAddress: this.#current.address }),
      revision: this.#revision,
    };
  }

  /** Gets the control addresses, the one of the session first. */
  getControlAddresses(): readonly string[] {
    const current = this.#current?.address;
    const addresses = this.#controlAddresses.getAll();
    return current === undefined
      ? addresses
      : [current, ...addresses.filter((each) => each !== current)];
  }

  /**
   * Ends the session and the lease. A session that is moving first reaches
   * another instance, within the silence limit. Resolves when the instance
   * confirmed, or after another silence limit.
   */
  async stop(): Promise<void> {
    if (this.#isStopped || this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    if (this.#current === undefined && this.#hasLease) {
      // Control would offer the targets until the lease ends.
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, this.#options.silenceMilliseconds);
        this.#onAdopted = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.#isStopped = true;
    clearTimeout(this.#attemptTimer);
    clearTimeout(this.#moveTimer);
    clearTimeout(this.#renewTimer);
    clearTimeout(this.#leaseTimer);
    this.#closeAttempts();
    const current = this.#current;
    if (current === undefined) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, this.#options.silenceMilliseconds);
      this.#onStopped = () => {
        clearTimeout(timer);
        resolve();
      };
      current.send({ $case: "leave", leave: {} });
    });
    current.close();
    this.#current = undefined;
  }

  /** Plans to look for an instance after a delay. */
  #scheduleMove(delayMilliseconds: number): void {
    if (this.#isStopped || this.#moveTimer !== undefined) {
      return;
    }
    this.#moveTimer = setTimeout(() => {
      this.#moveTimer = undefined;
      this.#startCycle([]);
    }, delayMilliseconds);
  }

  /**
   * Tries all instances, those that are known to be reachable first and the one
   * that was lost last.
   */
  #startCycle(preferred: readonly string[]): void {
    this.#closeAttempts();
    const others = this.#controlAddresses.getShuffled(this.#random)
      .filter((address) => address !== this.#current?.address);
    const getRank = (address: string): number =>
      address === this.#lostAddress ? 2 : preferred.includes(address) ? 0 : 1;
    this.#candidates = others.toSorted((a, b) => getRank(a) - getRank(b));
    this.#acceptsIsolated = false;
    this.#tryNext();
  }

  #tryNext(): void {
    clearTimeout(this.#attemptTimer);
    if (this.#isStopped) {
      return;
    }
    const address = this.#candidates.shift();
    if (address === undefined) {
      if (this.#attempts.size === 0) {
        this.#onCycleFailed();
      }
      return;
    }
    const connection = new SessionConnection({
      address,
      interceptors: this.#options.interceptors ?? [],
      hello: this.#createHello(),
      onMessage: (from, message) => this.#onMessage(from, message),
      onEnd: (from, reason) => this.#onEnd(from, reason),
    });
    this.#attempts.add(connection);
    setTimeout(
      () => this.#onAttemptFailed(connection),
      this.#options.attemptMilliseconds,
    ).unref();
    this.#attemptTimer = setTimeout(() => this.#tryNext(), staggerMilliseconds);
  }

  #onAttemptFailed(connection: SessionConnection): void {
    if (this.#attempts.delete(connection)) {
      connection.close();
      this.#tryNext();
    }
  }

  #onCycleFailed(): void {
    if (this.#current !== undefined) {
      // Isolated instances still hold leases and know the targets of their
      // side of a partition, so the session stays and looks again later.
      this.#scheduleMove(
        this.#options.isolatedRetryMilliseconds * (0.5 + this.#random()),
      );
      return;
    }
    if (!this.#acceptsIsolated) {
      this.#acceptsIsolated = true;
      this.#candidates = this.#controlAddresses.getShuffled(this.#random);
      this.#tryNext();
      return;
    }
    this.#failedCycles++;
    const limit = Math.min(
      this.#options.jitterMilliseconds * 2 ** this.#failedCycles,
      longestPauseMilliseconds,
    );
    this.#scheduleMove(limit * (0.5 + this.#random() / 2));
  }

  #closeAttempts(): void {
    clearTimeout(this.#attemptTimer);
    this.#candidates = [];
    for (const connection of this.#attempts) {
      connection.close();
    }
    this.#attempts.clear();
  }

  #createHello(): Hello {
    this.#sessionSequence = Math.max(
      this.#sessionSequence + 1,
      this.#clock.now().getTime(),
    );
    return {
      ...this.#options.nodeIdentity,
      sessionSequence: this.#sessionSequence,
      revision: this.#revision,
      viewDigests: this.#views.getDigests(),
      partHash: this.#part?.hash ?? "",
      acceptsIsolated: this.#acceptsIsolated,
    };
  }

  /** Makes a connection whose instance accepted the hello the session. */
  #adopt(connection: SessionConnection): void {
    this.#attempts.delete(connection);
    this.#closeAttempts();
    clearTimeout(this.#moveTimer);
    this.#moveTimer = undefined;
    const previous = this.#current;
    this.#current = connection;
    this.#failedCycles = 0;
    previous?.close();
    this.#options.log?.info("control-connected", {
      address: connection.address,
    });
    if (connection.sessionSequence !== this.#sessionSequence) {
      // A hello that went to another instance later would count as newer.
      const hello = this.#createHello();
      connection.sessionSequence = hello.sessionSequence;
      connection.send({ $case: "hello", hello });
    }
    this.#unansweredSince = undefined;
    this.#targets.renumberAll().forEach((each) => this.#sendAnnouncement(each));
    this.#requestedServices.forEach((each) => this.#sendViewRequest(each));
    this.#unconfirmed.renumberAll(this.#renewSequence + 1)
      .forEach((message) => connection.send(message));
    this.#scheduleRenew(this.#random() * this.#options.renewMilliseconds);
    this.#onAdopted?.();
  }

  #onEnd(connection: SessionConnection, reason: string): void {
    if (connection === this.#current) {
      if (this.#isStopped) {
        this.#onStopped?.();
        return;
      }
      this.#onLost(reason);
    } else {
      this.#onAttemptFailed(connection);
    }
  }

  /** Looks for another instance, after a part of the longest jitter. */
  #onLost(reason: string, jitterPart = 1): void {
    this.#lostAddress = this.#current?.address;
    this.#options.log?.warn("control-lost", {
      address: this.#lostAddress,
      reason,
    });
    this.#current?.close();
    this.#current = undefined;
    clearTimeout(this.#renewTimer);
    this.#linkBytes.onLost();
    clearTimeout(this.#moveTimer);
    this.#moveTimer = undefined;
    if (this.#attempts.size === 0) {
      this.#scheduleMove(
        this.#random() * this.#options.jitterMilliseconds * jitterPart,
      );
    }
  }

  #scheduleRenew(delayMilliseconds: number): void {
    this.#renewDueAt = this.#clock.monotonicMilliseconds() + delayMilliseconds;
    clearTimeout(this.#renewTimer);
    this.#renewTimer = setTimeout(() => this.#renew(), delayMilliseconds);
  }

  #renew(): void {
    const current = this.#current;
    if (current === undefined || this.#isStopped) {
      return;
    }
    const now = this.#clock.monotonicMilliseconds();
    const silence = now - (this.#unansweredSince ?? now);
    if (silence >= this.#options.silenceMilliseconds) {
      if (now - this.#renewDueAt > standstillMilliseconds) {
        // This process stood still; the answer may wait in the socket.
        this.#scheduleRenew(standstillMilliseconds);
      } else {
        // Renewals of many nodes are spread over time already, and the lease
        // at a silent instance that still lives is about to end.
        this.#onLost("no answer within the silence limit", 0.2);
      }
      return;
    }
    const report = this.#options.getReport?.() ?? idleReport;
    this.#renewSequence++;
    this.#unansweredSince ??= now;
    current.send({
      $case: "renew",
      renew: {
        sequence: this.#renewSequence,
        revision: this.#revision,
        linkBytes: this.#linkBytes.take(report.linkBytes),
        admissionLevel: report.admissionLevel,
        ledgerIndex: report.ledgerIndex,
        answeredSequence: this.#answeredSequence,
      },
    });
    // Checked when the silence limit ends, whichever comes first.
    this.#scheduleRenew(
      Math.min(
        this.#options.renewMilliseconds,
        this.#unansweredSince + this.#options.silenceMilliseconds - now,
      ),
    );
  }

  #onMessage(connection: SessionConnection, { message }: ControlMessage): void {
    if (connection !== this.#current) {
      if (message?.$case === "renewAnswer") {
        this.#adopt(connection);
      } else {
        // A redirect: this instance does not take the session.
        this.#onAttemptFailed(connection);
        return;
      }
    }
    match(message)
      .with(
        { $case: "renewAnswer" },
        ({ renewAnswer }) => this.#onRenewAnswer(renewAnswer),
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
      this.#linkBytes.onAnswered();
    } else if (this.#unansweredSince !== undefined) {
      this.#unansweredSince = this.#clock.monotonicMilliseconds();
    }
    this.#answeredSequence = answer.sequence;
    this.#targets.confirm(answer.sequence);
    this.#unconfirmed.confirm(answer.sequence);
    if (answer.ledgerIndex > 0) {
      this.#options.onLedgerIndex?.(answer.ledgerIndex);
    }
    if (answer.controlAddresses.length > 0) {
      this.#controlAddresses.setTold(answer.controlAddresses);
    }
    this.#hasLease = true;
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => this.#onLeaseEnd(),
      answer.leaseMilliseconds - leaseMarginMilliseconds,
    );
    if (answer.linkShares.length > 0) {
      this.#shares = answer.linkShares;
      this.#options.onLinkShares(this.#shares);
    }
  }

  /** Falls back to the shares that control counts without a lease. */
  #onLeaseEnd(): void {
    this.#hasLease = false;
    if (this.#shares.length > 0) {
      this.#options.onLinkShares(this.#shares.map((share) => ({
        ...share,
        bytesPerSecond: share.floorBytesPerSecond,
      })));
    }
  }

  #onDocument(update: DocumentUpdate): void {
    if (update.revision <= this.#revision) {
      return;
    }
    let part = this.#part;
    if (update.part.length > 0) {
      const bytes = inflateRawSync(update.part);
      part = { bytes, hash: getBytesHash(bytes) };
    }
    if (part === undefined || part.hash !== update.partHash) {
      this.#options.log?.error("document-damaged", {
        revision: update.revision,
      });
      return;
    }
    this.#part = part;
    this.#revision = update.revision;
    this.#options.onDocument(update.revision, part.bytes, update.digest);
    this.#renew();
  }

  #onView(update: ViewUpdate): void {
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
      // The stream ends next, and the session opens again elsewhere.
      return;
    }
    const { jitterMilliseconds } = this.#options;
    const part = refusal?.reason === "isolated" ? isolatedJitterPart : 1;
    clearTimeout(this.#moveTimer);
    this.#moveTimer = setTimeout(() => {
      this.#moveTimer = undefined;
      this.#startCycle(refusal?.controlAddresses ?? []);
    }, this.#random() * jitterMilliseconds * part);
  }

  #onStaleAnnouncement(known: TargetRecord): void {
    const outcome = this.#targets.overtake(known);
    if (outcome === undefined) {
      this.#options.log?.warn("target-replaced", {
        target: known.targetId,
        node: known.nodeId,
      });
    } else {
      this.#sendAnnouncement(outcome);
    }
  }

  #sendAnnouncement(record: TargetRecord): void {
    this.#targets.setConfirmedBy(record.targetId, this.#renewSequence + 1);
    this.#current?.send({ $case: "announcement", announcement: { record } });
  }

  #sendViewRequest(service: string): void {
    this.#current?.send({ $case: "viewRequest", viewRequest: { service } });
  }

  #sendConfirmed(message: NodeMessage["message"]): void {
    const dropped = this.#unconfirmed.add(message, this.#renewSequence + 1);
    if (dropped !== undefined) {
      this.#options.log?.warn("unconfirmed message dropped", {
        message: dropped.$case,
        reason: "too many wait for an answer of control",
      });
    }
    this.#current?.send(message);
  }
}
