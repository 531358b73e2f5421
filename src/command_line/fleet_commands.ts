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
/**
 * The new instance copies the whole state before the call returns, which takes
 * long when the state is large.
 */
const replacementTimeoutMilliseconds = 120_000;

/**
 * Shows the control group, nodes, targets, revisions and admission levels.
 * @param context Context of the command.
 * @returns The status as reported by the instance that responded.
 */
export async function showStatus(
  context: CommandContext,
): Promise<CommandOutcome> {
  const response = await call(context, OperatorService.getStatus, {
    formatVersion,
  });
  if (response.kind === "error") {
    return createFailureOutcome(response.error);
  }
  const { instance, environments } = response.value;
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
 * Requests that the node of a target drains it.
 * @param context Context of the command.
 * @param options The environment and the target.
 * @returns The state of the target.
 */
export async function drain(
  context: CommandContext,
  options: { environment: string; targetId: string },
): Promise<CommandOutcome> {
  const response = await call(context, OperatorService.drain, {
    formatVersion,
    ...options,
    operator: context.operator,
  });
  if (response.kind === "error") {
    return createFailureOutcome(response.error);
  }
  const { state } = response.value;
  return {
    exitCode: exitCodes.ok,
    json: { ...options, state },
    lines: [`${options.targetId}: ${state}`],
  };
}

/**
 * Replaces an instance of the control group.
 * @param context Context of the command.
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
  const response = await call(
    context,
    OperatorService.replaceInstance,
    { formatVersion, ...options, operator: context.operator },
    { attemptTimeoutMilliseconds: replacementTimeoutMilliseconds },
  );
  if (response.kind === "error") {
    return createFailureOutcome(
      response.error,
      "Check the members with status before you try again",
    );
  }
  const { members } = response.value;
  return {
    exitCode: exitCodes.ok,
    json: { ...options, members },
    lines: formatMembers(members),
  };
}

/**
 * Lists the fingerprints in quarantine, and those that are on trial after it.
 * @param context Context of the command.
 * @param environment Name of the environment.
 * @returns The entries.
 */
export async function listQuarantine(
  context: CommandContext,
  environment: string,
): Promise<CommandOutcome> {
  const response = await call(context, OperatorService.listQuarantine, {
    formatVersion,
    environment,
  });
  if (response.kind === "error") {
    return createFailureOutcome(response.error);
  }
  const entries = response.value.entries.map((entry) => ({
    fingerprint: entry.fingerprint,
    since: new Date(entry.sinceMilliseconds).toISOString(),
    until: new Date(entry.untilMilliseconds).toISOString(),
    trialUntil: entry.trialUntilMilliseconds === 0
      ? "-"
      : new Date(entry.trialUntilMilliseconds).toISOString(),
    reason: entry.reason,
    reportedBy: entry.reportedBy,
  }));
  return {
    exitCode: exitCodes.ok,
    json: { environment, entries },
    lines: entries.length === 0
      ? [`${environment}: nothing in quarantine`]
      : formatColumns([
        [
          "FINGERPRINT",
          "SINCE",
          "UNTIL",
          "TRIAL UNTIL",
          "REASON",
          "REPORTED BY",
        ],
        ...entries.map((entry) => Object.values(entry)),
      ]),
  };
}

/**
 * Removes one fingerprint or all fingerprints from quarantine.
 * @param context Context of the command.
 * @param options The environment and the fingerprint; without a fingerprint,
 * all of the environment are removed.
 * @returns The number of removed fingerprints.
 */
export async function clearQuarantine(
  context: CommandContext,
  options: { environment: string; fingerprint?: string },
): Promise<CommandOutcome> {
  const { environment, fingerprint = "" } = options;
  const response = await call(context, OperatorService.clearQuarantine, {
    formatVersion,
    environment,
    fingerprint,
    operator: context.operator,
  });
  if (response.kind === "error") {
    return createFailureOutcome(response.error);
  }
  const { cleared } = response.value;
  return {
    exitCode: exitCodes.ok,
    json: { environment, cleared },
    lines: [`${environment}: ${cleared} removed from quarantine`],
  };
}

/** Calls a method and returns a refusal as a failure. */
async function call<Request, Response extends { refusal: Refusal | undefined }>(
  context: CommandContext,
  method: UnaryMethod<Request, Response>,
  request: Request,
  options: { attemptTimeoutMilliseconds?: number } = {},
): Promise<Result<Response, CallFailure>> {
  const response = await context.connection.call(method, request, options);
  if (response.kind === "ok" && response.value.refusal !== undefined) {
    const { refusal } = response.value;
    return { kind: "error", error: { kind: "refused", refusal } };
  }
  return response;
}

function formatInstance(instance: InstanceStatus): string[] {
  const { address, role, term, leaderAddress, appliedIndex } = instance;
  return [
    `instance ${address}: ${role}, term ${term}, leader ${
      leaderAddress || "none"
    }, index ${appliedIndex}${instance.isolated ? ", ISOLATED" : ""}${
      instance.outdated ? ", OUTDATED" : ""
    }`,
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
  const currentNodeCount =
    nodes.filter((node) => node.revision >= environment.revision).length;
  return [
    `${environment.environment}: revision ${environment.revision}, in force ${
      environment.inForceRevision || "none"
    }, ${currentNodeCount} of ${nodes.length} nodes current, ${
      ledger?.claims ?? 0
    } of ${
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
