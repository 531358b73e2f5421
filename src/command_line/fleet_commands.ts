import type { Result } from "../common/mod.ts";
import type { Refusal } from "../protocol/generated/common.ts";
import {
  type EnvironmentStatus,
  type InstanceStatus,
  OperatorService,
} from "../protocol/generated/operator.ts";
import type { CommandContext } from "./command_context.ts";
import type { CallFailure, UnaryMethod } from "./control_connection.ts";
import { exitCodes } from "./exit_code.ts";
import {
  type CommandOutcome,
  createFailureOutcome,
  formatColumns,
} from "./command_outcome.ts";

const formatVersion = 1;
/** A new instance copies the state first; a large one takes a while. */
const replaceMilliseconds = 120_000;

/**
 * Shows the control group, nodes, targets, revisions and admission levels.
 * @param context Reaches the control group.
 * @returns What the instance that answered knows.
 */
export async function showStatus(
  context: CommandContext,
): Promise<CommandOutcome> {
  const called = await call(context, OperatorService.getStatus, {
    formatVersion,
  });
  if (called.kind === "error") {
    return createFailureOutcome(called.error);
  }
  const { instance, environments } = called.value;
  return {
    exitCode: exitCodes.ok,
    json: { instance, environments },
    lines: [
      ...(instance === undefined ? [] : formatInstance(instance)),
      ...environments.flatMap(formatEnvironment),
    ],
  };
}

/**
 * Asks the node of a target to drain it.
 * @param context Reaches the control group.
 * @param options The target.
 * @returns Its state.
 */
export async function drain(
  context: CommandContext,
  options: { environment: string; targetId: string },
): Promise<CommandOutcome> {
  const called = await call(context, OperatorService.drain, {
    formatVersion,
    ...options,
    operator: context.operator,
  });
  if (called.kind === "error") {
    return createFailureOutcome(called.error);
  }
  const { state } = called.value;
  return {
    exitCode: exitCodes.ok,
    json: { ...options, state },
    lines: [`${options.targetId}: ${state}`],
  };
}

/**
 * Replaces an instance of the control group.
 * @param context Reaches the control group.
 * @param options Addresses of the old and the new instance.
 * @returns The members after the change.
 */
export async function replaceInstance(
  context: CommandContext,
  options: { oldAddress: string; newAddress: string },
): Promise<CommandOutcome> {
  context.showProgress(
    `replacing ${options.oldAddress} with ${options.newAddress}`,
  );
  const called = await call(
    context,
    OperatorService.replaceInstance,
    { formatVersion, ...options, operator: context.operator },
    { attemptMilliseconds: replaceMilliseconds },
  );
  if (called.kind === "error") {
    return createFailureOutcome(
      called.error,
      "Look at the members with status before you try again",
    );
  }
  const { members } = called.value;
  return {
    exitCode: exitCodes.ok,
    json: { ...options, members },
    lines: formatMembers(members),
  };
}

/**
 * Lists the fingerprints in quarantine.
 * @param context Reaches the control group.
 * @param environment Its name.
 * @returns The entries.
 */
export async function listQuarantine(
  context: CommandContext,
  environment: string,
): Promise<CommandOutcome> {
  const called = await call(context, OperatorService.listQuarantine, {
    formatVersion,
    environment,
  });
  if (called.kind === "error") {
    return createFailureOutcome(called.error);
  }
  const entries = called.value.entries.map((entry) => ({
    fingerprint: entry.fingerprint,
    since: new Date(entry.sinceMilliseconds).toISOString(),
    until: new Date(entry.untilMilliseconds).toISOString(),
    reason: entry.reason,
    reportedBy: entry.reportedBy,
  }));
  return {
    exitCode: exitCodes.ok,
    json: { environment, entries },
    lines: entries.length === 0
      ? [`${environment}: nothing in quarantine`]
      : formatColumns([
        ["FINGERPRINT", "SINCE", "UNTIL", "REASON", "REPORTED BY"],
        ...entries.map((entry) => Object.values(entry)),
      ]),
  };
}

/**
 * Removes one fingerprint, or all, from quarantine.
 * @param context Reaches the control group.
 * @param options The environment and the fingerprint; all without one.
 * @returns How many were removed.
 */
export async function clearQuarantine(
  context: CommandContext,
  options: { environment: string; fingerprint?: string },
): Promise<CommandOutcome> {
  const { environment, fingerprint = "" } = options;
  const called = await call(context, OperatorService.clearQuarantine, {
    formatVersion,
    environment,
    fingerprint,
    operator: context.operator,
  });
  if (called.kind === "error") {
    return createFailureOutcome(called.error);
  }
  const { cleared } = called.value;
  return {
    exitCode: exitCodes.ok,
    json: { environment, cleared },
    lines: [`${environment}: ${cleared} removed from quarantine`],
  };
}

/** Calls a method; a refusal counts as a failure. */
async function call<Request, Reply extends { refusal: Refusal | undefined }>(
  context: CommandContext,
  method: UnaryMethod<Request, Reply>,
  request: Request,
  options: { attemptMilliseconds?: number } = {},
): Promise<Result<Reply, CallFailure>> {
  const called = await context.connection.call(method, request, options);
  if (called.kind === "ok" && called.value.refusal !== undefined) {
    const { refusal } = called.value;
    return { kind: "error", error: { kind: "refused", refusal } };
  }
  return called;
}

function formatInstance(instance: InstanceStatus): string[] {
  const { address, role, term, leaderAddress, appliedIndex } = instance;
  return [
    `instance ${address}: ${role}, term ${term}, leader ${
      leaderAddress || "none"
    }, index ${appliedIndex}${instance.isolated ? ", ISOLATED" : ""}`,
    ...formatMembers(instance.members),
  ];
}

function formatMembers(
  members: readonly { address: string; id: string; isVoter: boolean }[],
): string[] {
  return formatColumns(members.map((member) => [
    `  ${member.address}`,
    member.isVoter ? "voter" : "non-voter",
    member.id,
  ]));
}

function formatEnvironment(environment: EnvironmentStatus): string[] {
  const { nodes, targets, levels, ledger } = environment;
  const current =
    nodes.filter((node) => node.revision >= environment.revision).length;
  return [
    `${environment.environment}: revision ${environment.revision}, in force ${
      environment.inForceRevision || "none"
    }, ${current} of ${nodes.length} nodes current, ${ledger?.claims ?? 0} of ${
      ledger?.maximumClaims ?? 0
    } claims, ${environment.quarantined} in quarantine`,
    ...formatColumns([
      ...nodes.map((node) => [
        `  node ${node.nodeId}`,
        node.service,
        `revision ${node.revision}`,
        node.isConnected ? "" : "unreachable",
      ]),
      ...targets.map((target) => [
        `  target ${target.targetId}`,
        target.service,
        target.state,
        `${target.availabilityZone} ${target.address}`,
      ]),
      ...levels.map((level) => [
        `  service ${level.service}`,
        "",
        `admission level ${level.admissionLevel}`,
      ]),
    ]),
  ];
}
