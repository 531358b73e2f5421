import {
  type Interceptor,
  type sendUnaryData,
  type Server,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import { match } from "ts-pattern";
import {
  type Clock,
  disabledMetrics,
  type Log,
  type LogFields,
  type Metrics,
} from "../common/mod.ts";
import {
  Directory,
  getNodeKey,
  type KnownTarget,
  LinkBudgetRounds,
  LinkShareAllocator,
  parseTargetRecord,
  type TargetRecord,
  toKnownTarget,
} from "../membership/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import { defaultQuotaTerms, type QuotaTerms } from "../quotas/mod.ts";
import {
  type ExchangeAnswer,
  type ExchangeBatch,
  ExchangeService,
  type PermitTransfer,
} from "../protocol/generated/exchange.ts";
import type {
  Hello,
  NodeMessage,
  Renew,
} from "../protocol/generated/session.ts";
import type { Availability, ControlState } from "./control_state.ts";
import { DocumentParts } from "./document_parts.ts";
import { InstanceExchange } from "./instance_exchange.ts";
import {
  encodeControlMessage,
  type EncodedMessage,
  sessionDefinition,
  toWireTarget,
} from "./messages.ts";
import {
  createRedirect,
  type DocumentEncoder,
  NodeSession,
  type SessionStream,
} from "./node_session.ts";
import { QuotaHost } from "./quota_host.ts";
import { createQuarantineUpdate } from "./quarantine_update.ts";
import { SessionRegistry } from "./session_registry.ts";
import { SessionViews } from "./session_views.ts";

/** Settings of a session host. */
export interface SessionHostOptions {
  readonly instanceId: string;
  /**
   * Address at which nodes reach this instance. Without it, nodes are sent no
   * control addresses.
   */
  readonly address?: string;
  /** Start of this process; must grow with every start of the instance. */
  readonly boot: number;
  readonly state: ControlState;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics?: Metrics;
  /** Interceptors that add the token to each call to another instance. */
  readonly interceptors?: readonly Interceptor[];
  readonly leaseMilliseconds?: number;
  /**
   * Must be above 2 s: an instance without changes sends only digests, at this
   * interval.
   */
  readonly graceMilliseconds?: number;
  readonly rebalanceMilliseconds?: number;
  /** How far tenants may exceed their quotas; not at all by default. */
  readonly quotaTerms?: QuotaTerms;
}

/** A node with a valid lease at any instance. */
export interface LiveNode {
  readonly nodeId: string;
  readonly service: string;
  readonly nodeAddress: string;
  /** Highest document revision that it reported as in force; 0 for none. */
  readonly revision: number;
  /** False while its lease is valid but no instance has its session. */
  readonly isConnected: boolean;
  readonly admissionLevel: number;
}

/** Outcome of a request to drain a target. */
export type DrainOutcome =
  /** The request was sent to the node; `state` is the target's state before. */
  | { readonly kind: "asked"; readonly state: string }
  | { readonly kind: "unknown-target" }
  /** No instance has the session now, or this one may not know the target. */
  | { readonly kind: "unavailable" }
  /** Another instance has the session of the target's node. */
  | { readonly kind: "elsewhere"; readonly controlAddress: string };

const periodicTaskIntervalMilliseconds = 250;
const defaultRebalanceMilliseconds = 10_000;
// Nodes choose their instance at random, so with 886 nodes the counts of the
// instances differ by a few percent; such differences need no rebalancing.
const rebalanceThresholdRatio = 1.2;
// Limits the nodes that move at once, so that the records of their targets do
// not all change at the same time.
const maximumMovedRatio = 0.05;

/**
 * Serves the sessions of nodes and the exchange with other instances. Its state
 * is soft state, so it works without a majority of the instances.
 */
export class SessionHost {
  readonly #options: SessionHostOptions;
  readonly #metrics: Metrics;
  readonly #directory: Directory;
  readonly #exchange: InstanceExchange;
  readonly #linkRounds: LinkBudgetRounds;
  readonly #linkShares = new LinkShareAllocator({
    getPortion: (linkKey) => this.#linkRounds.getPortion(linkKey),
    getInstanceCount: () => this.#options.state.getPeers().length + 1,
  });
  readonly #quotas: QuotaHost;
  readonly #sessions = new SessionRegistry();
  readonly #views: SessionViews;
  readonly #parts = new Map<string, DocumentParts>();
  readonly #periodicTaskTimer: NodeJS.Timeout;
  readonly #rebalanceTimer: NodeJS.Timeout;

  constructor(options: SessionHostOptions) {
    this.#options = options;
    this.#metrics = options.metrics ?? disabledMetrics;
    this.#directory = new Directory({
      instanceId: options.instanceId,
      boot: options.boot,
      now: options.clock.monotonicMilliseconds(),
      getPeers: () =>
        options.state.getPeers().map(({ instanceId }) => instanceId),
      ...(options.leaseMilliseconds !== undefined &&
        { leaseMilliseconds: options.leaseMilliseconds }),
      ...(options.graceMilliseconds !== undefined &&
        { graceMilliseconds: options.graceMilliseconds }),
    });
    this.#views = new SessionViews({
      directory: this.#directory,
      sessions: this.#sessions,
      getParts: (environment) => this.#getParts(environment),
      now: () => this.#now(),
    });
    this.#linkRounds = new LinkBudgetRounds({
      boot: options.boot,
      now: options.clock.monotonicMilliseconds(),
    });
    this.#exchange = new InstanceExchange({
      boot: options.boot,
      directory: this.#directory,
      clock: options.clock,
      log: options.log,
      interceptors: options.interceptors ?? [],
      getPeers: () => options.state.getPeers(),
      getLinkDemand: () => this.#linkRounds.createReport(),
    });
    this.#quotas = new QuotaHost({
      terms: options.quotaTerms ?? defaultQuotaTerms,
      clock: options.clock,
      log: options.log,
      metrics: this.#metrics,
      getSession: (nodeKey) => this.#sessions.getByNode(nodeKey),
      getPeers: () =>
        this.#exchange.getReachablePeers().map(({ instanceId }) => instanceId),
      requestPermits: (instanceId, request) =>
        this.#exchange.requestPermits(instanceId, request),
    });
    this.#periodicTaskTimer = setInterval(
      () => this.#runPeriodicTasks(),
      periodicTaskIntervalMilliseconds,
    );
    this.#rebalanceTimer = setInterval(
      () => this.#rebalance(),
      options.rebalanceMilliseconds ?? defaultRebalanceMilliseconds,
    );
  }

  /** Adds the Session and Exchange services to a server. */
  addServices(server: Server): void {
    server.addService(sessionDefinition, {
      open: (stream: SessionStream) => this.#onOpen(stream),
    });
    server.addService(ExchangeService, {
      push: (
        call: ServerUnaryCall<ExchangeBatch, ExchangeAnswer>,
        callback: sendUnaryData<ExchangeAnswer>,
      ) => this.#onPush(call, callback),
      lendPermits: (
        call: ServerUnaryCall<PermitTransfer, PermitTransfer>,
        callback: sendUnaryData<PermitTransfer>,
      ) => callback(null, this.#quotas.lend(call.request)),
    });
  }

  /**
   * Sends a newly confirmed revision to the nodes of its environment at once.
   * @param environment The environment.
   */
  onDocumentAccepted(environment: string): void {
    const parts = this.#getParts(environment);
    if (parts === undefined) {
      return;
    }
    const availability = this.#options.state.getAvailability();
    if (availability !== "available") {
      this.#options.log.info("document withheld", {
        environment,
        ...describeDocument(parts.accepted),
        availability,
        sessions: this.#sessions.size,
      });
      this.#metrics.increment("documents.withheld", { reason: availability });
      return;
    }
    const encode = createDocumentEncoder();
    let sentCount = 0;
    let sessionCount = 0;
    for (const session of this.#sessions.getByEnvironment(environment)) {
      sessionCount++;
      sentCount += session.sendDocument(parts, encode) ? 1 : 0;
    }
    this.#options.log.info("document sent", {
      environment,
      ...describeDocument(parts.accepted),
      nodes: sentCount,
      sessions: sessionCount,
    });
    this.#views.updateCallGraph(environment, parts);
  }

  /**
   * Sends the quarantined fingerprints after a change. While this instance is not
   * available, it may lack newer ones, so only sessions that have its list get it.
   */
  onQuarantineChanged(environment: string): void {
    const update = createQuarantineUpdate(
      this.#options.state.getQuarantined(environment),
    );
    const isAvailable = this.#isAvailable();
    for (const session of this.#sessions.getByEnvironment(environment)) {
      if (isAvailable || session.hasQuarantine) {
        session.sendQuarantine(update);
      }
    }
  }

  /**
   * Sends changes of the suspects to the nodes of this instance.
   * @param environment The environment.
   * @param change Fingerprints that became suspects or were cleared.
   */
  publishSuspects(
    environment: string,
    change: { suspects: readonly string[]; cleared: readonly string[] },
  ): void {
    const message = encodeControlMessage({
      $case: "suspects",
      suspects: {
        suspects: [...change.suspects],
        cleared: [...change.cleared],
        quarantined: [],
        hasQuarantined: false,
      },
    });
    for (const session of this.#sessions.getByEnvironment(environment)) {
      session.send(message);
    }
  }

  /** To be called when the result of `getAvailability` has changed. */
  onAvailabilityChanged(): void {
    const availability = this.#options.state.getAvailability();
    if (availability === "available") {
      for (const session of this.#sessions.values()) {
        session.resetRedirect();
      }
      this.#sendWithheldState();
      return;
    }
    const addresses = this.#getReachableAddresses();
    for (const session of this.#sessions.values()) {
      this.#redirect(session, availability, addresses);
    }
  }

  /**
   * Asks the node of a target to drain it. The target is recorded as drained, so
   * that the node is asked again if the request is lost with its session.
   * @param request The target.
   * @returns Whether the request was sent, or why not.
   */
  drain(
    request: { readonly environment: string; readonly targetId: string },
  ): DrainOutcome {
    const { environment, targetId } = request;
    const target = this.#directory.getTarget(request);
    if (target === undefined) {
      const mayBeMissing = !this.#isAvailable() || this.isCollecting();
      return { kind: mayBeMissing ? "unavailable" : "unknown-target" };
    }
    const session = this.#sessions.getByNode(getNodeKey({
      environment,
      nodeId: target.nodeId,
    }));
    if (session !== undefined) {
      this.#directory.drain(request, this.#now());
      this.#views.scheduleFlush();
      session.send({ $case: "drainTarget", drainTarget: { targetId } });
      return { kind: "asked", state: target.state };
    }
    const owner = this.#directory.getTargetOwner(request);
    const peer = this.#options.state.getPeers()
      .find(({ instanceId }) => instanceId === owner);
    return peer === undefined
      ? { kind: "unavailable" }
      : { kind: "elsewhere", controlAddress: peer.address };
  }

  /** Gets the live nodes of an environment at all instances. */
  getLiveNodes(environment: string): LiveNode[] {
    return this.#directory.getNodes(environment).map((node) => ({
      nodeId: node.nodeId,
      service: node.service,
      nodeAddress: node.nodeAddress,
      revision: node.revision,
      isConnected: node.state === "connected",
      admissionLevel: node.admissionLevel,
    }));
  }

  /** Gets the live targets of an environment at all instances. */
  getTargets(environment: string): TargetRecord[] {
    const now = this.#now();
    return this.#directory.getServices(environment).flatMap((service) => [
      ...this.#directory.getTargets({ environment, service }).values(),
    ]).map((target) => toWireTarget(target, now));
  }

  /** Number of open sessions. */
  get sessionCount(): number {
    return this.#sessions.size;
  }

  /**
   * Gets whether targets may be missing because this process has just started.
   */
  isCollecting(): boolean {
    return this.#directory.isCollecting(this.#now());
  }

  /** Ends all sessions and the exchange. */
  stop(): void {
    clearInterval(this.#periodicTaskTimer);
    clearInterval(this.#rebalanceTimer);
    this.#views.stop();
    this.#quotas.stop();
    this.#exchange.stop();
    for (const session of this.#sessions.values()) {
      session.end();
    }
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  /** Gets the addresses of all instances, this one included. */
  #getAddresses(): string[] {
    const { address, state } = this.#options;
    return address === undefined
      ? []
      : [address, ...state.getPeers().map((peer) => peer.address)];
  }

  #getReachableAddresses(): string[] {
    return this.#exchange.getReachablePeers().map(({ address }) => address);
  }

  #redirect(
    session: NodeSession,
    reason: string,
    addresses: readonly string[],
  ): void {
    if (session.redirect(reason, addresses)) {
      this.#metrics.increment("sessions.redirected", { reason });
    }
  }

  /**
   * Asks some nodes to move when this instance has many more sessions than the
   * others, for example after another instance restarted.
   */
  #rebalance(): void {
    if (!this.#isAvailable() || this.#views.isCollecting) {
      return;
    }
    const counts = this.#directory.getNodeCounts();
    const reachable = this.#exchange.getReachablePeers();
    const peers = reachable.map((peer) => ({
      ...peer,
      count: counts.get(peer.instanceId) ?? 0,
    }));
    const ownCount = this.#sessions.size;
    const mean = peers.reduce((sum, { count }) => sum + count, ownCount) /
      (peers.length + 1);
    if (ownCount <= mean * rebalanceThresholdRatio + 1) {
      return;
    }
    const addresses = peers.filter(({ count }) => count < mean)
      .map(({ address }) => address);
    const moveCount = Math.ceil(
      Math.min(ownCount - mean, ownCount * maximumMovedRatio),
    );
    for (const session of [...this.#sessions.values()].slice(0, moveCount)) {
      session.resetRedirect();
      this.#redirect(session, "uneven", addresses);
    }
  }

  #isAvailable(): boolean {
    return this.#options.state.getAvailability() === "available";
  }

  /**
   * Gets the availability for a node. An instance that lacks the document of a node
   * is outdated, even if it does not know that yet, as is one that cannot read the
   * newest document.
   */
  #getAvailabilityFor(environment: string, nodeRevision: number): Availability {
    const { state } = this.#options;
    const availability = state.getAvailability();
    const revision = this.#getParts(environment)?.accepted.revision ?? 0;
    const isNewest = revision >= nodeRevision &&
      state.isDocumentReadable(environment);
    return availability === "available" && !isNewest
      ? "outdated"
      : availability;
  }

  #onOpen(stream: SessionStream): void {
    stream.on("error", () => {});
    stream.on(
      "data",
      (message: NodeMessage) => this.#onMessage(stream, message),
    );
    const onEnd = () => {
      const session = this.#sessions.getByStream(stream);
      if (session !== undefined) {
        // The lease is kept, so that the node can open another session.
        this.#sessions.remove(session);
        this.#directory.disconnect(session, this.#now());
        this.#quotas.removeNode(session, { hasLeft: false });
      }
    };
    stream.on("end", () => {
      onEnd();
      stream.end();
    });
    stream.on("close", onEnd);
    stream.on("cancelled", onEnd);
  }

  #onMessage(stream: SessionStream, message: NodeMessage): void {
    if (message.formatVersion !== formatVersion) {
      stream.emit("error", {
        code: status.FAILED_PRECONDITION,
        details:
          `Message format ${message.formatVersion} is not supported; this instance reads ${formatVersion}`,
      });
      return;
    }
    if (message.message?.$case === "hello") {
      this.#onHello(stream, message.message.hello);
      return;
    }
    const session = this.#sessions.getByStream(stream);
    if (session === undefined) {
      return;
    }
    const { environment } = session.hello;
    match(message.message)
      .with({ $case: "renew" }, ({ renew }) => this.#onRenew(session, renew))
      .with(
        { $case: "announcement" },
        ({ announcement }) =>
          this.#onAnnouncement(session, announcement.record),
      )
      .with({ $case: "crashReport" }, ({ crashReport }) => {
        this.#options.state.onCrashReport(environment, crashReport);
        this.#exchange.addCrashNews({
          environment,
          news: { $case: "report", report: crashReport },
        });
      })
      .with({ $case: "suspectCleared" }, ({ suspectCleared }) => {
        this.#options.state.onSuspectCleared(
          environment,
          suspectCleared.fingerprint,
        );
        this.#exchange.addCrashNews({
          environment,
          news: { $case: "cleared", cleared: suspectCleared },
        });
      })
      .with({ $case: "viewRequest" }, ({ viewRequest }) => {
        this.#views.request(session, viewRequest.service);
      })
      .with(
        { $case: "permitRequest" },
        ({ permitRequest }) =>
          this.#quotas.onPermitRequest(session, permitRequest),
      )
      .with({ $case: "leave" }, () => {
        this.#directory.leave(session, this.#now());
        this.#linkShares.removeNode(session.nodeKey);
        this.#quotas.removeNode(session, { hasLeft: true });
        this.#sessions.remove(session);
        session.end();
        this.#views.scheduleFlush();
      })
      .otherwise(() => {});
  }

  #onHello(stream: SessionStream, hello: Hello): void {
    const availability = this.#getAvailabilityFor(
      hello.environment,
      hello.revision,
    );
    if (
      availability === "stopping" ||
      (availability !== "available" && !hello.acceptsIsolated)
    ) {
      this.#metrics.increment("sessions.refused", { reason: availability });
      stream.write({
        formatVersion,
        message: createRedirect(
          availability,
          this.#getReachableAddresses(),
        ),
      });
      stream.end();
      return;
    }
    if (hello.environment === "" || hello.nodeId === "") {
      stream.emit("error", {
        code: status.INVALID_ARGUMENT,
        details: "A hello needs an environment and a node id",
      });
      return;
    }
    const session = new NodeSession(stream, hello);
    this.#sessions.add(session)?.end();
    this.#directory.openLease({
      nodeId: hello.nodeId,
      environment: hello.environment,
      service: hello.service,
      region: hello.region,
      availabilityZone: hello.availabilityZone,
      nodeAddress: hello.nodeAddress,
      incarnation: hello.incarnation,
      sessionSequence: hello.sessionSequence,
      update: 0,
      revision: hello.revision,
      admissionLevel: 0,
      state: "connected",
    }, this.#now());
    const { environment } = hello;
    this.#linkShares.addNode(session.nodeKey, hello);
    this.#quotas.addNode(session);
    this.#sendRenewAnswer(session, { sequence: 0, availability });
    const parts = this.#getParts(environment);
    const isSent = parts !== undefined && this.#isAvailable() &&
      session.sendDocument(parts, createDocumentEncoder());
    this.#options.log.info("session opened", {
      node: hello.nodeId,
      nodeRevision: hello.revision,
      ...(parts && describeDocument(parts.accepted)),
      isSent,
      availability,
    });
    session.send({
      $case: "suspects",
      suspects: {
        suspects: [...this.#options.state.getSuspects(environment)],
        cleared: [],
        quarantined: [],
        hasQuarantined: false,
      },
    });
    if (availability === "available") {
      session.sendQuarantine(createQuarantineUpdate(
        this.#options.state.getQuarantined(environment),
      ));
    }
    this.#views.open(session);
  }

  #onRenew(session: NodeSession, renew: Renew): void {
    const isRenewed = this.#directory.renew(session, {
      revision: renew.revision,
      admissionLevel: renew.admissionLevel,
      now: this.#now(),
    });
    if (!isRenewed) {
      session.redirect("lease-lost", []);
      session.end();
      return;
    }
    this.#linkShares.receiveReport(session.nodeKey, {
      linkBytes: renew.linkBytes,
      hasLastShares: renew.answeredSequence >= session.linkSharesSequence,
      now: this.#now(),
    });
    this.#quotas.onRenew(session, renew);
    const availability = this.#getAvailabilityFor(
      session.hello.environment,
      renew.revision,
    );
    this.#checkNodeRevision(session, renew);
    this.#sendRenewAnswer(session, { sequence: renew.sequence, availability });
    // Includes sessions that were accepted while no other instance was found.
    if (availability !== "available") {
      this.#redirect(session, availability, this.#getReachableAddresses());
    }
  }

  /** Logs that a node lacks a document, unless it may still be on its way. */
  #checkNodeRevision(session: NodeSession, renew: Renew): void {
    const parts = this.#getParts(session.hello.environment);
    if (parts === undefined || renew.revision >= parts.accepted.revision) {
      return;
    }
    const cause = session.getMissingCause({
      revision: parts.accepted.revision,
      receivedSequence: renew.answeredSequence,
    });
    if (cause !== undefined) {
      this.#options.log.warn("node behind", {
        node: session.hello.nodeId,
        nodeRevision: renew.revision,
        ...describeDocument(parts.accepted),
        cause,
        availability: this.#options.state.getAvailability(),
      });
      this.#metrics.increment("sessions.node_behind", { cause });
    }
  }

  #sendRenewAnswer(
    session: NodeSession,
    options: { sequence: number; availability: Availability },
  ): void {
    const { sequence } = options;
    const isAvailable = options.availability === "available";
    const parts = this.#getParts(session.hello.environment);
    const shares = this.#linkShares.updateShares(session.nodeKey, {
      isForced: sequence === 0,
    });
    if (shares !== undefined) {
      session.linkSharesSequence = sequence;
    }
    session.answeredSequence = sequence;
    session.send({
      $case: "renewAnswer",
      renewAnswer: {
        sequence,
        leaseMilliseconds: this.#directory.leaseMilliseconds,
        ledgerIndex: isAvailable ? this.#options.state.getLedgerIndex() : 0,
        linkShares: shares ?? [],
        revision: isAvailable ? parts?.accepted.revision ?? 0 : 0,
        controlAddresses: session.takeChangedControlAddresses(
          this.#getAddresses(),
        ),
        hasAllRecords: this.#directory.hasAllRecords(this.#now()),
        quotaPlace: this.#quotas.getPlace(session, sequence),
      },
    });
  }

  #onAnnouncement(
    session: NodeSession,
    wire: Parameters<typeof parseTargetRecord>[0] | undefined,
  ): void {
    const record = wire === undefined ? undefined : parseTargetRecord(wire);
    const { environment, nodeId } = session.hello;
    if (record === undefined || record.environment !== environment) {
      this.#options.log.warn("announcement-rejected", {
        node: nodeId,
        target: wire?.targetId,
      });
      return;
    }
    const now = this.#now();
    const known = this.#directory.announce(session, {
      target: toKnownTarget({ ...record, nodeId }, now),
      now,
    });
    if (known !== undefined && known !== "no-lease") {
      this.#sendNewerRecord(session, known);
    }
    this.#views.scheduleFlush();
  }

  /** Sends a node the record by which its own one was superseded. */
  #sendNewerRecord(session: NodeSession, known: KnownTarget): void {
    session.send({
      $case: "staleAnnouncement",
      staleAnnouncement: { known: toWireTarget(known, this.#now()) },
    });
  }

  /**
   * Sends documents, views and quarantines that were withheld while this instance
   * was not available, also when that was too short for
   * {@link onAvailabilityChanged}.
   */
  #sendWithheldState(): void {
    if (!this.#isAvailable()) {
      return;
    }
    for (const environment of this.#sessions.getEnvironments()) {
      this.onQuarantineChanged(environment);
      const parts = this.#getParts(environment);
      if (parts === undefined) {
        continue;
      }
      const { revision } = parts.accepted;
      const sessions = [...this.#sessions.getByEnvironment(environment)];
      if (sessions.some((each) => each.needsDocument(revision))) {
        this.onDocumentAccepted(environment);
      } else {
        this.#views.updateCallGraph(environment, parts);
      }
    }
  }

  #runPeriodicTasks(): void {
    const now = this.#now();
    this.#sendWithheldState();
    for (const nodeKey of this.#directory.expire(now)) {
      this.#linkShares.removeNode(nodeKey);
    }
    this.#linkRounds.advance({
      peers: this.#options.state.getPeers().map((peer) => peer.instanceId),
      getEntries: () => this.#linkShares.getDemand(),
      now,
    });
    this.#quotas.update({
      getNodes: (environment) => this.#directory.getNodes(environment),
      isComplete: this.#directory.hasAllRecords(now),
      isAvailable: this.#isAvailable(),
    });
    this.#views.update(this.#directory.isCollecting(now));
    for (const session of this.#sessions.values()) {
      if (!this.#directory.hasLease(session)) {
        this.#sessions.remove(session);
        this.#quotas.removeNode(session, { hasLeft: false });
        session.redirect("lease-lost", []);
        session.end();
      }
    }
  }

  #onPush(
    call: ServerUnaryCall<ExchangeBatch, ExchangeAnswer>,
    callback: sendUnaryData<ExchangeAnswer>,
  ): void {
    if (call.request.formatVersion !== formatVersion) {
      callback({
        code: status.FAILED_PRECONDITION,
        details:
          `Message format ${call.request.formatVersion} is not supported; this instance reads ${formatVersion}`,
      });
      return;
    }
    const { instanceId, linkDemand } = call.request;
    const answer = this.#exchange.receive(call.request);
    for (const known of this.#directory.takeForgottenDrains()) {
      const session = this.#sessions.getByNode(getNodeKey(known));
      if (session !== undefined) {
        this.#sendNewerRecord(session, known);
      }
    }
    if (linkDemand !== undefined) {
      this.#linkRounds.receive(instanceId, linkDemand);
    }
    const { state } = this.#options;
    for (const { environment, news } of call.request.crashNews) {
      if (news?.$case === "report") {
        state.onCrashReport(environment, news.report);
      } else if (news?.$case === "cleared") {
        state.onSuspectCleared(environment, news.cleared.fingerprint);
      }
    }
    this.#views.scheduleFlush();
    callback(null, answer);
  }

  #getParts(environment: string): DocumentParts | undefined {
    const accepted = this.#options.state.getAcceptedDocument(environment);
    const known = this.#parts.get(environment);
    // A lower revision than the known one would roll back the nodes.
    if (
      accepted === undefined ||
      accepted.revision <= (known?.accepted.revision ?? 0)
    ) {
      return known;
    }
    const parts = new DocumentParts(accepted);
    this.#parts.set(environment, parts);
    this.#linkShares.setLinks(environment, accepted.document.links);
    this.#quotas.setDocument(environment, accepted.document);
    return parts;
  }
}

/** Gets the fields by which log lines name a document. */
function describeDocument(
  { revision, document }: DocumentParts["accepted"],
): LogFields {
  return { revision, sourceVersion: document.sourceVersion };
}

/** Creates an encoder that encodes each variant of an update once. */
function createDocumentEncoder(): DocumentEncoder {
  const encoded = new Map<string, EncodedMessage>();
  return (parts, { service, isPartKnown }) => {
    const part = parts.getPart(service);
    const key = isPartKnown ? `known ${part.hash}` : part.hash;
    let message = encoded.get(key);
    if (message === undefined) {
      const { revision, digest, document } = parts.accepted;
      message = encodeControlMessage({
        $case: "document",
        document: {
          revision,
          digest,
          sourceVersion: document.sourceVersion ?? 0,
          part: isPartKnown ? Buffer.alloc(0) : part.compressed,
          partHash: part.hash,
        },
      });
      encoded.set(key, message);
    }
    return message;
  };
}
