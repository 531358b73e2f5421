import { randomUUID } from "node:crypto";
import type { Result } from "../common/mod.ts";
import { getChangedLines } from "../configuration/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import {
  type DocumentAnswer,
  OperatorService,
} from "../protocol/generated/operator.ts";
import type { CommandContext } from "./command_context.ts";
import {
  type CallFailure,
  getChangeTimeoutMilliseconds,
} from "./control_connection.ts";
import { exitCodes } from "./exit_code.ts";
import {
  type CommandOutcome,
  createFailureOutcome,
  createFindingsOutcome,
  formatColumns,
} from "./command_outcome.ts";
import {
  type ChangeOptions,
  describeRevision,
  finishChange,
} from "./finish_change.ts";

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
  }, {
    attemptTimeoutMilliseconds: getChangeTimeoutMilliseconds(bytes.length),
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

/**
 * Gets the document of a revision.
 * @param context Context of the command.
 * @param environment The environment.
 * @param revision The revision; 0 for the current one.
 * @returns The document and its revision, or why there is none.
 */
export async function getDocument(
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
