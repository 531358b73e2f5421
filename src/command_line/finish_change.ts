import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "../common/mod.ts";
import type { Revision } from "../protocol/generated/control.ts";
import {
  type ChangeAnswer,
  OperatorService,
  type RolloutAnswer,
} from "../protocol/generated/operator.ts";
import { formatVersion } from "../protocol/format_version.ts";
import type { CommandContext } from "./command_context.ts";
import {
  type CommandOutcome,
  createFailureOutcome,
  createFindingsOutcome,
  formatColumns,
} from "./command_outcome.ts";
import type { CallFailure } from "./control_connection.ts";
import { type ExitCode, exitCodes } from "./exit_code.ts";

/** Interval at which `--wait` requests the list of nodes that are behind. */
const rolloutPollMilliseconds = 200;

/** Options of the commands that change a document. */
export interface ChangeOptions {
  readonly base: number;
  readonly changeId?: string;
  readonly wait?: boolean;
  readonly waitSeconds: number;
}

/** A revision as it is printed. */
export interface RevisionDescription {
  readonly revision: number;
  readonly time: string;
  readonly operator: string;
  readonly digest: string;
  readonly changeId: string;
  readonly sizeBytes: number;
  /** When all live nodes had it in force. */
  readonly inForce: string | undefined;
  /** The environment and revision that it was promoted from. */
  readonly from: string | undefined;
}

/**
 * Creates the outcome of a change, after the wait for its nodes if there is one.
 * @param context Context of the command.
 * @param response What control answered.
 * @param options The change.
 * @returns The new revision, the findings or the conflict.
 */
export async function finishChange(
  context: CommandContext,
  response: Result<ChangeAnswer, CallFailure>,
  options: ChangeOptions & { environment: string; changeId: string },
): Promise<CommandOutcome> {
  const { environment, changeId } = options;
  if (response.kind === "error") {
    const isNotExecuted = response.error.kind === "unauthenticated";
    return createFailureOutcome(
      response.error,
      isNotExecuted
        ? undefined
        : `The change may have been made; resend it with --change-id ${changeId}`,
    );
  }
  const { result, refusal, findings, changedLines } = response.value;
  if (findings.length > 0) {
    return createFindingsOutcome(findings, "");
  }
  if (refusal !== undefined || result === undefined) {
    return createFailureOutcome({
      kind: "refused",
      refusal: refusal ??
        { reason: "other", message: "No result", controlAddresses: [] },
    });
  }
  const { kind, revision, digest } = result;
  const since = result.sinceBase.map(describeRevision);
  if (kind === "accepted") {
    const lines = [
      `${environment} revision ${revision} accepted (${digest.slice(0, 12)})`,
    ];
    const json = { result: kind, environment, revision, digest, changeId };
    return options.wait
      ? await waitUntilInForce(context, { ...options, revision, json, lines })
      : { exitCode: exitCodes.ok, json, lines };
  }
  return {
    exitCode: getResultExitCode(kind),
    json: {
      result: kind,
      environment,
      currentRevision: revision,
      since,
      changedLines,
      changeId,
    },
    lines: [
      describeResult(kind, { ...options, revision }),
      ...since.map((each) =>
        `  revision ${each.revision} by ${each.operator} at ${each.time}`
      ),
      ...changedLines,
    ],
  };
}

function describeResult(
  kind: string,
  change: { environment: string; revision: number; base: number },
): string {
  switch (kind) {
    case "conflict":
      return `conflict: ${change.environment} is at revision ${change.revision}, not ${change.base}`;
    case "change-id-reused":
      return "change-id-reused: the change id belongs to another change";
    case "unknown-revision":
      return "unknown-revision: the revision to promote does not exist or is no longer retained";
    case "not-in-force":
      return "not-in-force: not all live nodes had the revision to promote in force";
    default:
      return kind;
  }
}

function getResultExitCode(kind: string): ExitCode {
  return kind === "conflict" ? exitCodes.conflict : exitCodes.invalidInput;
}

/**
 * Waits until a revision or a later one is in force on all live nodes.
 * @param context Context of the command.
 * @param options The revision, the time limit, and what to print first.
 * @returns The outcome, with the nodes that are behind at the time limit.
 */
export async function waitUntilInForce(
  context: CommandContext,
  options: {
    waitSeconds: number;
    environment: string;
    revision: number;
    json: object;
    lines: string[];
  },
): Promise<CommandOutcome> {
  const { environment, revision, json, lines } = options;
  const end = Date.now() + options.waitSeconds * 1000;
  let lastAnswer: RolloutAnswer | undefined;
  do {
    const response = await context.connection.call(OperatorService.getRollout, {
      formatVersion,
      environment,
      revision,
    });
    if (response.kind === "ok") {
      lastAnswer = response.value;
      const { liveNodes, behind } = lastAnswer;
      if (lastAnswer.isInForce || (liveNodes > 0 && behind.length === 0)) {
        return {
          exitCode: exitCodes.ok,
          json: { ...json, inForce: true, liveNodes },
          lines: [...lines, `in force on all ${liveNodes} live nodes`],
        };
      }
      context.showProgress(
        `in force on ${liveNodes - behind.length} of ${liveNodes} live nodes`,
      );
    }
    await sleep(rolloutPollMilliseconds);
  } while (Date.now() < end);
  return createNotInForceOutcome(lastAnswer, options);
}

function createNotInForceOutcome(
  lastAnswer: RolloutAnswer | undefined,
  options: { waitSeconds: number; json: object; lines: string[] },
): CommandOutcome {
  const { waitSeconds, json, lines } = options;
  const behind = (lastAnswer?.behind ?? []).map((node) => ({
    nodeId: node.nodeId,
    service: node.service,
    address: node.address,
    revision: node.revision,
    isReachable: node.isConnected,
  }));
  const liveNodes = lastAnswer?.liveNodes ?? 0;
  const summary = lastAnswer === undefined
    ? "no control instance answered"
    : liveNodes === 0
    ? "no node of the environment has a lease"
    : `${behind.length} of ${liveNodes} live nodes are behind`;
  return {
    exitCode: exitCodes.notInForce,
    json: { ...json, inForce: false, liveNodes, behind },
    lines: [
      ...lines,
      `not in force after ${waitSeconds} s: ${summary}`,
      ...formatColumns(behind.map((node) => [
        `  ${node.nodeId}`,
        node.service,
        `revision ${node.revision}`,
        node.isReachable ? "reachable" : "unreachable",
      ])),
    ],
  };
}

/**
 * Describes a revision for people and for `--json`.
 * @param revision The revision.
 * @returns Its fields.
 */
export function describeRevision(revision: Revision): RevisionDescription {
  const { fromEnvironment, fromRevision, inForceMilliseconds } = revision;
  return {
    revision: revision.revision,
    time: new Date(revision.timeMilliseconds).toISOString(),
    operator: revision.operator,
    digest: revision.digest,
    changeId: revision.changeId,
    sizeBytes: revision.sizeBytes,
    inForce: inForceMilliseconds > 0
      ? new Date(inForceMilliseconds).toISOString()
      : undefined,
    from: fromEnvironment === ""
      ? undefined
      : `${fromEnvironment} ${fromRevision}`,
  };
}
