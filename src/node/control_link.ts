import type { Interceptor } from "@grpc/grpc-js";
import {
  type ConfirmationListener,
  ControlSession,
  LedgerClient,
  type SessionTiming,
} from "../control_client/mod.ts";
import { decodeDocumentPart } from "../document/mod.ts";
import type { TargetRecord } from "../membership/mod.ts";
import { createLedgerPort } from "./ledger_adapter.ts";
import type { NodeProcess } from "./node_process.ts";
import type { LocalTargetState } from "./announced_target.ts";
import { TargetConfirmation } from "./target_confirmation.ts";
import { reportRouting } from "./report_routing.ts";

/** Settings of a {@link ControlLink}. */
export interface ControlLinkOptions {
  /** Add the token to each call; empty when no token is configured. */
  readonly interceptors: readonly Interceptor[];
  /** Address at which other nodes reach the node listener. */
  readonly nodeAddress: string;
  /**
   * Time for which a target that started before this node waits for control,
   * which may know that it was drained; 3 s by default.
   */
  readonly confirmationLimitMilliseconds?: number;
  /** Intervals of the session; its defaults when absent. */
  readonly sessionTiming?: SessionTiming;
}

/** Time in which every instance knows of a drain. */
const defaultConfirmationLimitMilliseconds = 3000;

const gaugeIntervalMilliseconds = 5000;

const recordStates: Readonly<Record<LocalTargetState, TargetRecord["state"]>> =
  {
    absent: "left",
    // Keeps other nodes from sending calls to it.
    unconfirmed: "draining",
    ready: "ready",
    draining: "draining",
    left: "left",
    expired: "expired",
    crashed: "expired",
  };

/**
 * Connects a node to control, which sends it documents, views of targets and
 * suspects, and gives it access to the ledger.
 */
export class ControlLink {
  readonly #node: NodeProcess;
  readonly #options: ControlLinkOptions;
  readonly #session: ControlSession;
  readonly #ledger: LedgerClient;
  readonly #confirmation: TargetConfirmation;
  readonly #gaugeTimer: NodeJS.Timeout;
  #crashCount = 0;

  /**
   * Opens the session with control.
   * @param node The node; its listeners must be open.
   * @param options Address of the node and credentials.
   */
  constructor(node: NodeProcess, options: ControlLinkOptions) {
    this.#node = node;
    this.#options = options;
    const { state } = node;
    const { settings } = state;
    const incarnation = Date.now();
    const { target } = node.targetDispatcher;
    const limitMilliseconds = options.confirmationLimitMilliseconds ??
      defaultConfirmationLimitMilliseconds;
    this.#confirmation = new TargetConfirmation({
      target,
      log: state.log,
      limitMilliseconds,
      hasDocument: () => state.view !== undefined,
    });
    // A target that is younger than this process was never drained before it.
    target.requireConfirmation(node.startMilliseconds);
    this.#session = new ControlSession({
      controlAddresses: settings.controlAddresses,
      ...options.sessionTiming,
      interceptors: options.interceptors,
      log: state.log,
      metrics: node.metrics,
      nodeIdentity: {
        environment: settings.environment,
        nodeId: settings.nodeId,
        incarnation,
        region: settings.region,
        availabilityZone: settings.availabilityZone,
        service: settings.service,
        nodeAddress: options.nodeAddress,
      },
      getReport: () => ({
        admissionLevel: node.targetDispatcher.getStatus()?.level ?? 0,
        ledgerIndex: state.ledger.knownIndex,
        linkBytes: state.router.takeLinkBytes().map(({ from, to, bytes }) => ({
          fromRegion: from,
          toRegion: to,
          bytes,
        })),
      }),
      onConnected: () => this.#confirmation.onConnected(),
      onDocument: ({ revision, part, sourceVersion }) => {
        node.applyDocument(decodeDocumentPart(part), revision, sourceVersion);
        this.#confirmation.update();
      },
      onView: (service, targets) =>
        node.updateView(service, targets.map(toRoutingTarget)),
      onLinkShares: (shares) =>
        state.router.updateLinkShares(shares.map((each) => ({
          from: each.fromRegion,
          to: each.toRegion,
          bytesPerSecond: each.bytesPerSecond,
        }))),
      onSuspects: (update) => {
        state.log.info("suspects changed", {
          suspects: update.suspects.length,
          cleared: update.cleared.length,
          quarantined: update.hasQuarantined
            ? update.quarantined.length
            : undefined,
        });
        state.suspects.applyUpdate({
          suspects: update.suspects,
          cleared: update.cleared,
          quarantined: update.hasQuarantined ? update.quarantined : undefined,
        });
        node.targetDispatcher.onSuspectsChanged();
      },
      onDrainRequest: (targetId) => {
        if (targetId === settings.nodeId) {
          target.drain();
        }
      },
      onLedgerIndex: (index) => this.#ledger.recordIndex(index),
      onQuotaPlace: (place) => state.quotas.onContact(place),
      onPermitGrants: (grants) => state.quotas.receiveGrants(grants),
      onSessionEnded: () => state.quotas.onContactLost(),
    });
    this.#ledger = new LedgerClient({
      environment: settings.environment,
      nodeId: settings.nodeId,
      incarnation,
      interceptors: options.interceptors,
      log: state.log,
      getControlAddresses: () => this.#session.getControlAddresses(),
    });
    state.ledger = createLedgerPort(this.#ledger);
    state.isDocumentConfirmed = () => this.#session.isDocumentConfirmed;
    node.permitRequester.send = (request) =>
      this.#session.requestPermits({ ...request, wants: [...request.wants] });
    node.getControlStatus = () => this.#session.getStatus();
    node.events = {
      onTargetChange: () => this.#announce(),
      onCrash: (report) =>
        this.#session.reportCrash({
          reportId: `${settings.nodeId}-${incarnation}-${++this.#crashCount}`,
          targetId: settings.nodeId,
          fingerprints: [...report.fingerprints],
          wasAlone: report.wasAlone,
        }),
      onSuspectCleared: (each) => this.#session.clearSuspect(each),
    };
    if (target.state !== "absent") {
      this.#announce();
    }
    this.#gaugeTimer = setInterval(
      () => this.#reportGauges(),
      gaugeIntervalMilliseconds,
    );
  }

  /** Announces to control that the target leaves, before the node stops. */
  announceLeave(): void {
    const { target } = this.#node.targetDispatcher;
    if (target.state !== "absent") {
      this.#session.announce(this.#createRecord("left"));
    }
  }

  /** Replaces the control addresses that came from the settings. */
  setControlAddresses(addresses: readonly string[]): void {
    this.#session.setControlAddresses(addresses);
  }

  /** Closes the session and the ledger client. */
  async stop(): Promise<void> {
    clearInterval(this.#gaugeTimer);
    this.#confirmation.stop();
    await this.#session.stop();
    this.#ledger.stop();
  }

  #reportGauges(): void {
    const { revision, documentAgeMilliseconds, connected, fault } = this
      .#session.getStatus();
    const { metrics, state } = this.#node;
    metrics.gauge("node.revision", revision, {});
    metrics.gauge("control.connected", connected ? 1 : 0, {});
    metrics.gauge("control.session_faulty", fault === undefined ? 0 : 1, {});
    if (!this.#session.isDocumentConfirmed) {
      state.log.warn("document unconfirmed", {
        revision,
        ageMilliseconds: documentAgeMilliseconds,
        connected,
        fault,
      });
    }
    if (documentAgeMilliseconds !== undefined) {
      metrics.gauge(
        "node.document_age_milliseconds",
        documentAgeMilliseconds,
        {},
      );
    }
    reportRouting(this.#node.state, metrics);
  }

  #announce(): void {
    const { target } = this.#node.targetDispatcher;
    const record = this.#createRecord(recordStates[target.state]);
    this.#session.announce(record, this.#createListener());
    this.#confirmation.update();
  }

  /** Creates what waits for the confirmation of the latest announcement. */
  #createListener(): ConfirmationListener | undefined {
    const { target } = this.#node.targetDispatcher;
    if (target.state === "unconfirmed") {
      return { fact: "newest", onConfirmed: () => target.confirm() };
    }
    const incarnation = target.announcement?.incarnation;
    if (
      target.state === "ready" || incarnation === undefined ||
      incarnation !== target.drainedIncarnation
    ) {
      return undefined;
    }
    return {
      fact: "remembered",
      onConfirmed: () => target.drainConfirmation.confirm(incarnation),
    };
  }

  #createRecord(recordState: TargetRecord["state"]): TargetRecord {
    const { settings } = this.#node.state;
    const { target } = this.#node.targetDispatcher;
    return {
      targetId: settings.nodeId,
      environment: settings.environment,
      service: settings.service,
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      nodeAddress: this.#options.nodeAddress,
      incarnation: target.announcement?.incarnation ?? 0,
      sequence: 0,
      state: recordState,
      ageMilliseconds: Math.floor(target.getAgeMilliseconds()),
      nodeId: settings.nodeId,
      drainedIncarnation: target.drainedIncarnation,
    };
  }
}

function toRoutingTarget(
  record: TargetRecord,
): Parameters<NodeProcess["updateView"]>[1][number] {
  return {
    targetId: record.targetId,
    nodeAddress: record.nodeAddress,
    region: record.region,
    availabilityZone: record.availabilityZone,
    incarnation: record.incarnation,
    isDraining: record.state !== "ready",
    ageMilliseconds: record.ageMilliseconds,
  };
}
