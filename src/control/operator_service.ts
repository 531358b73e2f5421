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

/** Largest document, in bytes; bounds the memory of the history. */
export const maximumDocumentBytes = 1024 * 1024;
/** Characters of a change id or of an operator's name. */
const longestName = 100;
/** Changed lines that a conflict shows. */
const changedLinesLimit = 100;

/** What the operator service needs. */
export interface OperatorServiceOptions {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
  readonly fleet: FleetView;
  readonly address: string;
  readonly eventLog: Log;
  readonly now: () => Date;
}

interface Answer {
  formatVersion: number;
  refusal: Refusal | undefined;
}

/**
 * Creates the service for the operators' command line.
 * @param options What it works on.
 * @returns The handlers.
 */
export function createOperatorService(
  options: OperatorServiceOptions,
): OperatorServer {
  const handlers = new OperatorHandlers(options);
  return {
    apply: handle((request) => handlers.apply(request)),
    promote: handle(async (request) => {
      const { formatVersion: _, ...promoteDocument } = request;
      return await handlers.change(
        { $case: "promoteDocument", promoteDocument },
        request,
      );
    }),
    getDocument: handle(async ({ environment, revision }) => {
      const refusal = await handlers.confirmRead();
      const { history } = options.stateMachine;
      const found = revision === 0
        ? history.getCurrent(environment)
        : history.getRevision(environment, revision);
      const bytes = found && history.getBytes(found.digest);
      if (refusal === undefined && bytes === undefined) {
        return {
          ...refuse(createRefusal(
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
        ...refuse(refusal),
        revision: found,
        bytes: Buffer.from(bytes ?? []),
      };
    }),
    getHistory: handle(async ({ environment, limit }) => ({
      ...refuse(await handlers.confirmRead()),
      revisions: options.stateMachine.history.getRevisions(
        environment,
        limit === 0 ? 20 : limit,
      ),
    })),
    getStatus: handle(() => handlers.getStatus()),
    getRollout: handle(async ({ environment, revision }) => {
      const refusal = await handlers.confirmRead();
      const { history } = options.stateMachine;
      const nodes = options.fleet.getLiveNodes(environment);
      return {
        ...refuse(refusal),
        liveNodes: nodes.length,
        behind: nodes.filter((node) => node.revision < revision)
          .map(describeNode),
        isInForce: (history.getInForce(environment)?.revision ?? 0) >= revision,
        currentRevision: history.getCurrent(environment)?.revision ?? 0,
      };
    }),
    drain: handle((request) => handlers.drain(request)),
    replaceInstance: handle(async (request) => ({
      ...refuse(await handlers.replaceInstance(request)),
      members: [...options.log.getStatus().members],
    })),
    listQuarantine: handle(async ({ environment }) => ({
      ...refuse(await handlers.confirmRead()),
      entries: options.stateMachine.quarantine.getEntries(
        environment,
        options.now(),
      ),
    })),
    clearQuarantine: handle(async (request) => {
      const { formatVersion: _, ...clearQuarantine } = request;
      const proposed = await handlers.propose({
        $case: "clearQuarantine",
        clearQuarantine,
      });
      options.eventLog.info("quarantine cleared", {
        environment: request.environment,
        operator: request.operator,
      });
      if (proposed.kind === "error") {
        return { ...refuse(proposed.error), cleared: 0 };
      }
      const cleared = proposed.value?.$case === "quarantine"
        ? proposed.value.quarantine.changed
        : 0;
      return { ...refuse(undefined), cleared };
    }),
  };
}

class OperatorHandlers {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  async apply(request: ApplyRequest): Promise<ChangeAnswer> {
    const { environment, baseRevision, bytes, changeId, operator } = request;
    if (bytes.length > maximumDocumentBytes) {
      return createChangeAnswer(createRefusal(
        "invalid-document",
        `The document has ${bytes.length} bytes, more than ${maximumDocumentBytes}`,
      ));
    }
    const parsed = parseDocument(
      new TextDecoder().decode(bytes),
      request.file || "document",
    );
    if (parsed.kind === "error") {
      return {
        ...createChangeAnswer(
          createRefusal("invalid-document", "The document has findings"),
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

  /** Proposes a change of a document. */
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
      name !== "" && name.length <= longestName
    );
    if (!isEnvironment(environment) || !hasNames) {
      return createChangeAnswer(createRefusal(
        "invalid-request",
        `Expected an environment of ${
          environments.join(", ")
        }, and a change id and an operator's name of 1 to ${longestName} characters`,
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

  async confirmRead(): Promise<Refusal | undefined> {
    const confirmed = await this.#options.log.confirmRead();
    return confirmed.kind === "error"
      ? createProposeRefusal(confirmed.error)
      : undefined;
  }

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
        return { ...refuse(undefined), state: outcome.state };
      case "unknown-target": {
        const message = `No live node of ${environment} has target ${targetId}`;
        const refusal = createRefusal("unknown-target", message);
        return { ...refuse(refusal), state: "" };
      }
      case "elsewhere": {
        const message = `The node of ${targetId} has its session elsewhere`;
        const controlAddresses = [outcome.controlAddress];
        const refusal = createRefusal("session-elsewhere", message, {
          controlAddresses,
        });
        return { ...refuse(refusal), state: "" };
      }
    }
  }

  async replaceInstance(request: {
    oldAddress: string;
    newAddress: string;
    operator: string;
  }): Promise<Refusal | undefined> {
    const { oldAddress, newAddress, operator } = request;
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
    this.#options.eventLog.info("instance replaced", {
      oldAddress,
      newAddress,
      operator,
      result: changed.kind,
    });
    return changed.kind === "error"
      ? createProposeRefusal(changed.error)
      : undefined;
  }

  /** Describes what this instance knows; it works while it is isolated. */
  getStatus() {
    const { stateMachine, log, address } = this.#options;
    const status = log.getStatus();
    return {
      ...refuse(undefined),
      instance: {
        address,
        role: status.role,
        term: status.term,
        leaderAddress: status.leader?.address ?? "",
        isolated: status.isolated,
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
    const counts = ledger.getUsage(environment);
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
      levels: getServiceLevels(nodes),
      ledger: {
        claims: counts.records,
        maximumClaims: current?.ledgerLimits?.maximumClaims ?? 0,
        answerBytes: counts.answerBytes,
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
      .slice(0, changedLinesLimit);
  }
}

/** Answers a call, or fails it when the handler threw. */
function handle<Request extends { formatVersion: number }, Reply>(
  answer: (request: Request) => Promise<Reply> | Reply,
): handleUnaryCall<Request, Reply> {
  return (call: ServerUnaryCall<Request, Reply>, callback) => {
    Promise.resolve(call.request).then(answer).then(
      (reply) => callback(null, reply),
      (error) => callback(error as Error),
    );
  };
}

function refuse(refusal: Refusal | undefined): Answer {
  return { formatVersion, refusal };
}

function createChangeAnswer(refusal: Refusal | undefined): ChangeAnswer {
  return {
    ...refuse(refusal),
    result: undefined,
    changedLines: [],
    findings: [],
  };
}

function describeNode(node: LiveNode) {
  const { nodeId, service, revision, isConnected } = node;
  return { nodeId, service, address: node.nodeAddress, revision, isConnected };
}

function getServiceLevels(nodes: readonly LiveNode[]) {
  const levels = new Map<string, number>();
  for (const { service, admissionLevel } of nodes) {
    levels.set(service, Math.max(levels.get(service) ?? 0, admissionLevel));
  }
  return [...levels].sort().map(([service, admissionLevel]) => ({
    service,
    admissionLevel,
  }));
}
