import { failed, ok, type Result } from "../common/mod.ts";
import type { Disposition } from "./disposition.ts";
import { fieldLimits, readWholeNumber } from "./field_limits.ts";
import { decodeName, encodeName } from "./name_codec.ts";
import { type RefusalReason, refusalReasons } from "./refusal_reason.ts";

/** Name of the header with which a target's node answers the origin's node. */
export const answerHeader = "dogwoodwalk-answer";

/**
 * Name of the header with the mean own service time of the target, in whole
 * microseconds. Nodes accept only three numbers in the load of an answer, and
 * drop headers of this prefix that they do not know, so that a header of its own
 * is compatible with older nodes.
 */
export const serviceTimeHeader = "dogwoodwalk-service-time";

/** Admission level of a service that refuses calls; above 0. */
export interface ServiceLevel {
  readonly service: string;
  readonly level: number;
}

/** Load of a target as its node measures it. */
export interface LoadHint {
  readonly running: number;
  readonly queued: number;
  /** Concurrency limit of the target. */
  readonly limit: number;
  /** Mean time of a call at the target without nested calls, if known. */
  readonly serviceMilliseconds?: number | undefined;
}

/** What the target's node reports to the origin's node about an attempt. */
export interface Answer {
  readonly disposition: Disposition;
  /** Why the attempt failed; absent when the target's response follows. */
  readonly reason?: RefusalReason | undefined;
  /** Attempts that were delegated with the attempt and not used. */
  readonly unusedAttempts: number;
  readonly levels: readonly ServiceLevel[];
  readonly load?: LoadHint | undefined;
}

const formatVersion = "1";
const fieldCount = 6;
const reasons: ReadonlySet<string> = new Set(refusalReasons);

/**
 * Encodes an answer as
 * `1;disposition;reason;unused;service=level,...;running,queued,limit`. Admission
 * levels beyond the length of an answer are omitted.
 * @param answer The answer.
 * @returns The value of the header.
 */
export function encodeAnswer(answer: Answer): string {
  const start = `${formatVersion};${answer.disposition};${
    answer.reason ?? ""
  };${answer.unusedAttempts};`;
  const load = answer.load === undefined ? "" : encodeLoad(answer.load);
  if (answer.levels.length === 0) {
    return `${start};${load}`;
  }
  const length = fieldLimits.answerLength - start.length - load.length - 1;
  return `${start}${encodeLevels(answer.levels, length)};${load}`;
}

/**
 * Encodes an answer as the headers of a response.
 * @param answer The answer.
 * @returns Alternating names and values.
 */
export function encodeAnswerHeaders(answer: Answer): readonly string[] {
  const headers = [answerHeader, encodeAnswer(answer)];
  const serviceMilliseconds = answer.load?.serviceMilliseconds;
  if (serviceMilliseconds !== undefined && serviceMilliseconds >= 0) {
    const microseconds = Math.min(
      Math.round(serviceMilliseconds * 1000),
      fieldLimits.serviceMicroseconds,
    );
    headers.push(serviceTimeHeader, String(microseconds));
  }
  return headers;
}

/**
 * Decodes the headers of an answer. Never throws.
 * @param text The value of the answer header.
 * @param serviceTime The value of the service time header; `undefined` when it
 * is absent, as in the answers of older nodes.
 * @returns The answer, or what is wrong with its header. A malformed service
 * time is left out.
 */
export function decodeAnswerHeaders(
  text: string,
  serviceTime: string | undefined,
): Result<Answer, string> {
  const decoded = decodeAnswer(text);
  if (
    serviceTime === undefined || decoded.kind === "error" ||
    decoded.value.load === undefined
  ) {
    return decoded;
  }
  const microseconds = readWholeNumber(
    serviceTime,
    fieldLimits.serviceMicroseconds,
  );
  return microseconds < 0 ? decoded : ok({
    ...decoded.value,
    load: { ...decoded.value.load, serviceMilliseconds: microseconds / 1000 },
  });
}

function encodeLoad({ running, queued, limit }: LoadHint): string {
  const maximum = fieldLimits.load;
  return `${Math.min(running, maximum)},${Math.min(queued, maximum)},${
    Math.min(limit, maximum)
  }`;
}

function encodeLevels(
  levels: readonly ServiceLevel[],
  maximumLength: number,
): string {
  let text = "";
  for (const { service, level } of levels.slice(0, fieldLimits.levelEntries)) {
    const separator = text === "" ? "" : ",";
    const next = `${text}${separator}${encodeName(service)}=${
      Math.min(level, fieldLimits.level)
    }`;
    if (next.length <= maximumLength) {
      text = next;
    }
  }
  return text;
}

/**
 * Decodes an answer. Never throws. Whether the call ran must not be lost, so that
 * a reason that this version does not know becomes `peer-rejected`, and other
 * fields that are malformed or beyond `fieldLimits` are left out.
 * @param text The value of the header.
 * @returns The answer, or what is wrong with the header.
 */
export function decodeAnswer(text: string): Result<Answer, string> {
  if (text.length > fieldLimits.answerLength) {
    return failed(`longer than ${fieldLimits.answerLength} characters`);
  }
  const fields = text.split(";");
  if (fields[0] !== formatVersion) {
    return failed("unknown format version");
  }
  if (fields.length !== fieldCount) {
    return failed(`expected ${fieldCount} fields`);
  }
  const disposition = fields[1];
  if (
    disposition !== "not-run" && disposition !== "ran" &&
    disposition !== "unknown"
  ) {
    return failed("disposition is unknown");
  }
  return ok({
    disposition,
    reason: decodeReason(fields[2] as string),
    unusedAttempts: Math.max(
      0,
      readWholeNumber(fields[3], fieldLimits.allowance),
    ),
    levels: decodeLevels(fields[4] as string),
    load: decodeLoad(fields[5] as string),
  });
}

function decodeReason(text: string): RefusalReason | undefined {
  if (text === "") {
    return undefined;
  }
  return reasons.has(text) ? text as RefusalReason : "peer-rejected";
}

function decodeLoad(text: string): LoadHint | undefined {
  const numbers = text.split(",");
  const running = readWholeNumber(numbers[0], fieldLimits.load);
  const queued = readWholeNumber(numbers[1], fieldLimits.load);
  const limit = readWholeNumber(numbers[2], fieldLimits.load);
  return numbers.length !== 3 || running < 0 || queued < 0 || limit < 0
    ? undefined
    : { running, queued, limit };
}

const noLevels: readonly ServiceLevel[] = [];

function decodeLevels(text: string): readonly ServiceLevel[] {
  if (text === "") {
    return noLevels;
  }
  const entries = text.split(",");
  if (entries.length > fieldLimits.levelEntries) {
    return noLevels;
  }
  const levels: ServiceLevel[] = [];
  for (const entry of entries) {
    const split = entry.indexOf("=");
    const service = decodeName(
      entry.slice(0, Math.max(0, split)),
      fieldLimits.serviceLength,
    );
    const level = readWholeNumber(entry.slice(split + 1), fieldLimits.level);
    if (!service || level < 0) {
      return noLevels;
    }
    levels.push({ service, level });
  }
  return levels;
}
