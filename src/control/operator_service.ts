import type { handleUnaryCall, ServerUnaryCall } from "@grpc/grpc-js";
import { type Finding, type Log, type Result } from "../common/mod.ts";
import {
  environments,
  getChangedLines,
  isEnvironment,
} from "../configuration/mod.ts";
import { parseDocument } from "../document/mod.ts";
import type { LiveNode } from "../session_server/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";
import type {
  ControlCommand,
  ControlResult,
  DocumentResult,
} from "../protocol/generated/control.ts";
import type {
  ApplyRequest,
  ChangeAnswer,
  DrainAnswer,
  DrainRequest,
  EnvironmentStatus,
  OperatorServer,
} from "../protocol/generated/operator.ts";
import {
  type ControlStateMachine,
  formatVersion,
} from "./control_state_machine.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Proposer } from "./proposer.ts";
import { createProposeRefusal, createRefusal } from "./refusal.ts";
import type { ReplicatedLog } from "../consensus/mod.ts";

/** Maximum characters of a change id or of an operator's name. */
const maximumNameLength = 100;
/** Maximum number of changed lines in the answer to a conflicting change. */
const maximumChangedLines = 100;

/** Options of the operator service. */
export interface OperatorServiceOptions {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
  readonly fleet: FleetView;
  readonly address: string;
  /** Maximum size of a document; it bounds the memory to parse one. */
  readonly maximumDocumentBytes: number;
  readonly eventLog: Log;
  readonly now: () => Date;
}

/** Fields that every answer has. */
interface AnswerFields {
  formatVersion: number;
  refusal: Refusal | undefined;
}

/**
 * Creates the service for the operators' command line.
 * @param options Replicated state and dependencies.
 * @returns The handlers.
 */
export function createOperatorService(
  options: OperatorServiceOptions,
): OperatorServer {
  const handlers = new OperatorHandlers(options);
  return {
    apply: toUnaryHandler((request) => handlers.apply(request)),
    promote: toUnaryHandler(async (request) => {
      const { formatVersion: _, ...promoteDocument } = request;
      return await handlers.change(
        { $case: "promoteDocument", promoteDocument },
        request,
      );
    }),
    getDocument: toUnaryHandler(async ({ environment, revision }) => {
      const refusal = await handlers.confirmRead();
      const { history } = options.stateMachine;
      const found = revision === 0
        ? history.getCurrent(environment)
        : history.getRevision(environment, revision);
      const bytes = found && history.getBytes(found.digest);
      if (refusal === undefined && bytes === undefined) {
        return {
          ...createAnswerFields(createRefusal(
            "unknown-revision",
            revision === 0
              ? `Environment ${environment} has no document`
              : `Revision ${revision} of ${environment} is not kept`,
          )),
          revision: found,
          bytes: Buffer.alloc(0),
        };
      }
      return {
        ...createAnswerFields(refusal),
        revision: found,
        bytes: Buffer.from(bytes ?? []),
      };
    }),
    getHistory: toUnaryHandler(async ({ environment, limit }) => ({
      ...createAnswerFields(await handlers.confirmRead()),
      revisions: options.stateMachine.history.getRevisions(
        environment,
        limit === 0 ? 20 : limit,
      ),
    })),
    getStatus: toUnaryHandler(() => handlers.getStatus()),
    getRollout: toUnaryHandler(async ({ environment, revision }) => {
      const refusal = await handlers.confirmRead();
      const { history } = options.stateMachine;
      const nodes = options.fleet.getLiveNodes(environment);
      return {
        ...createAnswerFields(refusal),
        liveNodes: nodes.length,
        behind: nodes.filter((node) => node.revision < revision)
          .map(describeNode),
        isInForce: (history.getInForce(environment)?.revision ?? 0) >= revision,
        currentRevision: history.getCurrent(environment)?.revision ?? 0,
      };
    }),
    drain: toUnaryHandler((request) => handlers.drain(request)),
    replaceInstance: toUnaryHandler(async (request) => ({
      ...createAnswerFields(await handlers.replaceInstance(request)),
      members: [...options.log.getStatus().members],
    })),
    listQuarantine: toUnaryHandler(async ({ environment }) => ({
      ...createAnswerFields(await handlers.confirmRead()),
      entries: options.stateMachine.quarantine.getEntriesAndTrials(
        environment,
        options.now(),
      ),
    })),
    clearQuarantine: toUnaryHandler(async (request) => {
      const { formatVersion: _, ...clearQuarantine } = request;
      const proposed = await handlers.propose({
        $case: "clearQuarantine",
        clearQuarantine,
      });
      options.eventLog.info("quarantine clear requested", {
        environment: request.environment,
        operator: request.operator,
      });
      if (proposed.kind === "error") {
        return { ...createAnswerFields(proposed.error), cleared: 0 };
      }
      const cleared = proposed.value?.$case === "quarantine"
        ? proposed.value.quarantine.changed
        : 0;
      return { ...createAnswerFields(undefined), cleared };
    }),
  };
}

class OperatorHandlers {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  /** Parses and validates a document, then proposes it. */
  async apply(request: ApplyRequest): Promise<ChangeAnswer> {
    const { environment, baseRevision, bytes, changeId, operator } = request;
    const { maximumDocumentBytes } = this.#options;
    if (bytes.length > maximumDocumentBytes) {
      return createChangeAnswer(createRefusal(
        "invalid-document",
        `The document has ${bytes.length} bytes, more than the limit of ${maximumDocumentBytes}`,
      ));
    }
    const parsed = parseDocument(
      new TextDecoder().decode(bytes),
      request.file || "document",
    );
    if (parsed.kind === "error") {
      return {
        ...createChangeAnswer(
          createRefusal("invalid-document", "The document is invalid"),
        ),
        findings: parsed.error.map((finding: Finding) => ({ ...finding })),
      };
    }
    const ledgerLimits = { ...parsed.value.ledger };
    return await this.change({
      $case: "applyDocument",
      applyDocument: {
        environment,
        baseRevision,
        bytes,
        changeId,
        operator,
        ledgerLimits,
      },
    }, request);
  }

  /** Proposes a document change and describes its result. */
  async change(
    command: ControlCommand["command"],
    request: {
      environment: string;
      baseRevision: number;
      changeId: string;
      operator: string;
    },
  ): Promise<ChangeAnswer> {
    const { environment, changeId, operator } = request;
    const hasNames = [changeId, operator].every((name) =>
      name !== "" && name.length <= maximumNameLength
    );
    if (!isEnvironment(environment) || !hasNames) {
      return createChangeAnswer(createRefusal(
        "invalid-request",
        `Expected an environment of ${
          environments.join(", ")
        }, and a change id and an operator's name of 1 to ${maximumNameLength} characters`,
      ));
    }
    const proposed = await this.propose(command);
    if (proposed.kind === "error") {
      return createChangeAnswer(proposed.error);
    }
    const result = proposed.value?.$case === "document"
      ? proposed.value.document
      : undefined;
    this.#options.eventLog.info("document change", {
      environment,
      changeId,
      operator,
      result: result?.kind,
      revision: result?.revision,
      applied: this.#options.stateMachine.index,
      term: this.#options.log.getStatus().term,
    });
    return {
      ...createChangeAnswer(undefined),
      result,
      changedLines: result?.kind === "conflict"
        ? this.#getConflictLines(request, result)
        : [],
    };
  }

  propose(
    command: ControlCommand["command"],
  ): Promise<Result<ControlResult["result"], Refusal>> {
    return this.#options.proposer.propose(command);
  }

  /** Confirms that this instance has every committed change, before a read. */
  async confirmRead(): Promise<Refusal | undefined> {
    const confirmed = await this.#options.log.confirmRead();
    return confirmed.kind === "error"
      ? createProposeRefusal(confirmed.error)
      : undefined;
  }

  /** Requests a node to drain one of its targets. */
  drain(request: DrainRequest): DrainAnswer {
    const { environment, targetId, operator } = request;
    const { fleet, eventLog } = this.#options;
    const outcome = fleet.drain({ environment, targetId });
    eventLog.info("drain requested", {
      environment,
      targetId,
      operator,
      outcome: outcome.kind,
    });
    switch (outcome.kind) {
      case "asked":
        return { ...createAnswerFields(undefined), state: outcome.state };
      case "unknown-target": {
        const message = `No live node of ${environment} has target ${targetId}`;
        const refusal = createRefusal("unknown-target", message);
        return { ...createAnswerFields(refusal), state: "" };
      }
      case "unavailable": {
        const message = `This instance does not reach ${targetId} at present`;
        const refusal = createRefusal("session-elsewhere", message);
        return { ...createAnswerFields(refusal), state: "" };
      }
      case "elsewhere": {
        const message =
          `The node of ${targetId} has its session with another control instance`;
        const controlAddresses = [outcome.controlAddress];
        const refusal = createRefusal("session-elsewhere", message, {
          controlAddresses,
        });
        return { ...createAnswerFields(refusal), state: "" };
      }
    }
  }

  /**
   * Replaces a member of the group by an instance at another address. Succeeds
   * without a change when the replacement is complete already.
   */
  async replaceInstance(request: {
    oldAddress: string;
    newAddress: string;
    operator: string;
  }): Promise<Refusal | undefined> {
    const { oldAddress, newAddress, operator } = request;
    const refusal = await this.confirmRead();
    if (refusal !== undefined) {
      return refusal;
    }
    const { members } = this.#options.log.getStatus();
    const old = members.find((each) => each.address === oldAddress);
    const isDone = old === undefined &&
      members.some((each) => each.address === newAddress && each.isVoter);
    if (isDone) {
      return undefined;
    }
    if (old === undefined) {
      return createRefusal(
        "invalid-request",
        `${oldAddress} is not a member; members are ${
          members.map((each) => each.address).join(", ")
        }`,
      );
    }
    const changed = await this.#options.log.changeMembers({
      kind: "replace",
      oldId: old.id,
      address: newAddress,
    });
    this.#options.eventLog.info("instance replacement", {
      oldAddress,
      newAddress,
      operator,
      result: changed.kind,
    });
    return changed.kind === "error"
      ? createProposeRefusal(changed.error)
      : undefined;
  }

  /**
   * Gets the status from the state of this instance alone, so that it also works
   * while the instance is isolated.
   */
  getStatus() {
    const { stateMachine, log, address } = this.#options;
    const status = log.getStatus();
    return {
      ...createAnswerFields(undefined),
      instance: {
        address,
        role: status.role,
        term: status.term,
        leaderAddress: status.leader?.address ?? "",
        isolated: status.isolated,
        outdated: status.outdated,
        members: [...status.members],
        appliedIndex: stateMachine.index,
        digest: stateMachine.getDigest(),
      },
      environments: stateMachine.history.getEnvironments().map((each) =>
        this.#getEnvironmentStatus(each)
      ),
    };
  }

  #getEnvironmentStatus(environment: string): EnvironmentStatus {
    const { stateMachine, fleet, now } = this.#options;
    const { history, ledger, quarantine } = stateMachine;
    const current = history.getCurrent(environment);
    const nodes = fleet.getLiveNodes(environment);
    const usage = ledger.getUsage(environment);
    return {
      environment,
      revision: current?.revision ?? 0,
      digest: current?.digest ?? "",
      inForceRevision: history.getInForce(environment)?.revision ?? 0,
      nodes: nodes.map(describeNode),
      targets: fleet.getTargets(environment).map((target) => ({
        targetId: target.targetId,
        service: target.service,
        region: target.region,
        availabilityZone: target.availabilityZone,
        address: target.nodeAddress,
        state: target.state,
      })),
      levels: getAdmissionLevels(nodes),
      ledger: {
        claims: usage.records,
        maximumClaims: current?.ledgerLimits?.maximumClaims ?? 0,
        answerBytes: usage.answerBytes,
      },
      quarantined: quarantine.getEntries(environment, now()).length,
    };
  }

  #getConflictLines(
    request: { environment: string; baseRevision: number },
    result: DocumentResult,
  ): string[] {
    const { history } = this.#options.stateMachine;
    const base = history.getRevision(request.environment, request.baseRevision);
    const before = base === undefined
      ? new Uint8Array()
      : history.getBytes(base.digest);
    const after = history.getBytes(result.digest);
    if (before === undefined || after === undefined) {
      return [];
    }
    const decoder = new TextDecoder();
    return getChangedLines(decoder.decode(before), decoder.decode(after))
      .slice(0, maximumChangedLines);
  }
}

/** Creates a gRPC handler that fails the call when the function throws. */
function toUnaryHandler<Request extends { formatVersion: number }, Reply>(
  handler: (request: Request) => Promise<Reply> | Reply,
): handleUnaryCall<Request, Reply> {
  return (call: ServerUnaryCall<Request, Reply>, callback) => {
    Promise.resolve(call.request).then(handler).then(
      (reply) => callback(null, reply),
      (error) => callback(error as Error),
    );
  };
}

function createAnswerFields(refusal: Refusal | undefined): AnswerFields {
  return { formatVersion, refusal };
}

function createChangeAnswer(refusal: Refusal | undefined): ChangeAnswer {
  return {
    ...createAnswerFields(refusal),
    result: undefined,
    changedLines: [],
    findings: [],
  };
}

function describeNode(node: LiveNode) {
  const { nodeId, service, revision, isConnected } = node;
  return { nodeId, service, address: node.nodeAddress, revision, isConnected };
}

function getAdmissionLevels(nodes: readonly LiveNode[]) {
  const levels = new Map<string, number>();
  for (const { service, admissionLevel } of nodes) {
    levels.set(service, Math.max(levels.get(service) ?? 0, admissionLevel));
  }
  return [...levels].sort().map(([service, admissionLevel]) => ({
    service,
    admissionLevel,
  }));
}
