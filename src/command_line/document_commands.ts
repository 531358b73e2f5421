import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Finding, formatFinding, type Result } from "../common/mod.ts";
import { getChangedLines } from "../configuration/mod.ts";
import { parseDocument } from "../document/mod.ts";
import type { Revision } from "../protocol/generated/control.ts";
import {
  type ChangeAnswer,
  type DocumentAnswer,
  OperatorService,
  type RolloutAnswer,
} from "../protocol/generated/operator.ts";
import type { CommandContext } from "./command_context.ts";
import type { CallFailure } from "./control_connection.ts";
import { type ExitCode, exitCodes } from "./exit_code.ts";
import {
  type CommandOutcome,
  createFailureOutcome,
  formatColumns,
} from "./command_outcome.ts";

const formatVersion = 1;
/** Interval at which `--wait` requests the list of nodes that are behind. */
const rolloutPollMilliseconds = 200;

/** Options of the commands that change a document. */
export interface ChangeOptions {
  readonly base: number;
  readonly changeId?: string;
  readonly wait?: boolean;
  readonly waitSeconds: number;
}

/**
 * Validates a document locally, without calling a control instance.
 * @param context Context of the command.
 * @param file Path of the document.
 * @returns The findings.
 */
export function validate(
  context: CommandContext,
  file: string,
): CommandOutcome {
  const text = new TextDecoder().decode(context.readFile(file));
  const parsed = parseDocument(text, file);
  const findings = parsed.kind === "error" ? parsed.error : [];
  return createFindingsOutcome(findings, `${file}: no findings`);
}

/**
 * Applies a document to an environment.
 * @param context Context of the command.
 * @param options The document and the revision that it replaces.
 * @returns The new revision, the findings or the conflict.
 */
export async function apply(
  context: CommandContext,
  options: ChangeOptions & { environment: string; file: string },
): Promise<CommandOutcome> {
  const { environment, file, base } = options;
  const changeId = options.changeId ?? randomUUID();
  const bytes = context.readFile(file);
  context.showProgress(`applying ${file} to ${environment}`);
  const response = await context.connection.call(OperatorService.apply, {
    formatVersion,
    environment,
    baseRevision: base,
    bytes,
    changeId,
    operator: context.operator,
    file,
  });
  return await finishChange(context, response, {
    ...options,
    changeId,
  });
}

/**
 * Promotes a revision that is in force in one environment to another.
 * @param context Context of the command.
 * @param options The revision and the one that it replaces.
 * @returns The new revision or the conflict.
 */
export async function promote(
  context: CommandContext,
  options: ChangeOptions & {
    revision: number;
    from: string;
    environment: string;
  },
): Promise<CommandOutcome> {
  const { environment, revision, from, base } = options;
  const changeId = options.changeId ?? randomUUID();
  context.showProgress(`promoting ${from} ${revision} to ${environment}`);
  const response = await context.connection.call(OperatorService.promote, {
    formatVersion,
    fromEnvironment: from,
    fromRevision: revision,
    environment,
    baseRevision: base,
    changeId,
    operator: context.operator,
  });
  return await finishChange(context, response, { ...options, changeId });
}

/**
 * Shows the lines that differ between two revisions, or between the current
 * revision and a file.
 * @param context Context of the command.
 * @param options The environment, and the revisions or the file to compare.
 * @returns The changed lines.
 */
export async function diff(
  context: CommandContext,
  options: { environment: string; file?: string; from?: number; to?: number },
): Promise<CommandOutcome> {
  const { environment, file } = options;
  const to = file === undefined
    ? await getDocument(context, environment, options.to ?? 0)
    : undefined;
  if (to?.kind === "error") {
    return createFailureOutcome(to.error);
  }
  const toRevision = to?.value.revision?.revision ?? 0;
  const from = await getDocument(
    context,
    environment,
    options.from ?? (file === undefined ? Math.max(1, toRevision - 1) : 0),
  );
  if (from.kind === "error") {
    return createFailureOutcome(from.error);
  }
  const newerDocument = file === undefined
    ? to?.value.bytes ?? Buffer.alloc(0)
    : context.readFile(file);
  const lines = getChangedLines(
    from.value.bytes.toString(),
    newerDocument.toString(),
  );
  return {
    exitCode: exitCodes.ok,
    json: {
      environment,
      from: from.value.revision?.revision,
      to: file ?? toRevision,
      changedLines: lines,
    },
    lines: lines.length === 0 ? ["no differences"] : lines,
  };
}

/**
 * Lists the newest revisions of an environment.
 * @param context Context of the command.
 * @param options The environment and the maximum number of revisions.
 * @returns The revisions, newest first.
 */
export async function showHistory(
  context: CommandContext,
  options: { environment: string; limit: number },
): Promise<CommandOutcome> {
  const { environment, limit } = options;
  const response = await context.connection.call(OperatorService.getHistory, {
    formatVersion,
    environment,
    limit,
  });
  if (response.kind === "error") {
    return createFailureOutcome(response.error);
  }
  const revisions = response.value.revisions.map(describeRevision);
  return {
    exitCode: exitCodes.ok,
    json: { environment, revisions },
    lines: revisions.length === 0
      ? [`${environment} has no document`]
      : formatColumns([
        ["REVISION", "TIME", "OPERATOR", "DIGEST", "IN FORCE", "FROM"],
        ...revisions.map((each) => [
          String(each.revision),
          each.time,
          each.operator,
          each.digest.slice(0, 12),
          each.inForce ?? "-",
          each.from ?? "-",
        ]),
      ]),
  };
}

async function finishChange(
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

async function waitUntilInForce(
  context: CommandContext,
  options: ChangeOptions & {
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
  return createNotInForceOutcome(lastAnswer, { ...options, json, lines });
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

async function getDocument(
  context: CommandContext,
  environment: string,
  revision: number,
): Promise<Result<DocumentAnswer, CallFailure>> {
  const response = await context.connection.call(OperatorService.getDocument, {
    formatVersion,
    environment,
    revision,
  });
  if (response.kind === "ok" && response.value.refusal !== undefined) {
    const { refusal } = response.value;
    return { kind: "error", error: { kind: "refused", refusal } };
  }
  return response;
}

function describeRevision(revision: Revision) {
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

function createFindingsOutcome(
  findings: readonly Finding[],
  success: string,
): CommandOutcome {
  const isValid = findings.length === 0;
  return {
    exitCode: isValid ? exitCodes.ok : exitCodes.invalidInput,
    json: { findings },
    lines: isValid ? [success] : findings.map(formatFinding),
  };
}
