import { failed, ok, type Result } from "../common/mod.ts";
import { fieldLimits, readWholeNumber } from "./field_limits.ts";
import { decodeName, encodeName, replaceLoneSurrogates } from "./name_codec.ts";
import type { RequestContext } from "./request_context.ts";

/** Name of the header between nodes that carries the context. */
export const contextHeader = "dogwoodwalk-context";

const formatVersion = "1";
const fieldCount = 10;
/** Prefix of a request identity that is encoded. */
const encodedPrefix = "%";
/** Visible ASCII characters except the separator `;`, without the prefix. */
const plainRequestIdPattern = /^[!-$&-:<-~][!-:<-~]*$/;
const encodedRequestIdPattern = /^%[\w-]+$/;

/**
 * Encodes a context as `1;request;caller;class;remaining;allowance;depth;index;service;hash`.
 * @param context The context; its values must be within `fieldLimits`.
 * @returns The value of the header.
 */
export function encodeContext(context: RequestContext): string {
  return `${formatVersion};${encodeRequestId(context.requestId)};${
    encodeName(sanitizeCaller(context.caller))
  };${context.classIndex};${
    Math.max(0, Math.ceil(context.remainingMilliseconds))
  };${context.allowance};${context.depth};${context.entryIndex};${
    encodeName(context.service)
  };${context.hash}`;
}

/**
 * Truncates a caller's name to the length that a context may have, and replaces
 * characters that cannot be encoded.
 * @param caller The name that the caller gave.
 * @returns The name to use.
 */
export function sanitizeCaller(caller: string): string {
  return replaceLoneSurrogates(caller.slice(0, fieldLimits.callerLength));
}

/**
 * Decodes a context. Never throws; a value beyond `fieldLimits` is an error.
 * @param text The value of the header.
 * @returns The context, or what is wrong with the header.
 */
export function decodeContext(text: string): Result<RequestContext, string> {
  if (text.length > fieldLimits.contextLength) {
    return failed(`longer than ${fieldLimits.contextLength} characters`);
  }
  const fields = text.split(";");
  if (fields[0] !== formatVersion) {
    return failed("unknown format version");
  }
  if (fields.length !== fieldCount) {
    return failed(`expected ${fieldCount} fields`);
  }
  const requestId = decodeRequestId(fields[1] as string);
  if (requestId === undefined) {
    return failed("request identity is malformed");
  }
  const caller = decodeName(fields[2] as string, fieldLimits.callerLength);
  if (caller === undefined) {
    return failed("caller is malformed");
  }
  const classIndex = readWholeNumber(fields[3], fieldLimits.classIndex);
  const remainingMilliseconds = readWholeNumber(
    fields[4],
    fieldLimits.remainingMilliseconds,
  );
  const allowance = readWholeNumber(fields[5], fieldLimits.allowance);
  const depth = readWholeNumber(fields[6], fieldLimits.depth);
  const entryIndex = readWholeNumber(fields[7], Number.MAX_SAFE_INTEGER);
  if (classIndex < 0) {
    return failed("class is out of range");
  }
  if (remainingMilliseconds < 0) {
    return failed("deadline is out of range");
  }
  if (allowance < 0) {
    return failed("allowance is out of range");
  }
  if (depth < 1) {
    return failed("depth is out of range");
  }
  if (entryIndex < 0) {
    return failed("ledger index is out of range");
  }
  const service = decodeName(fields[8] as string, fieldLimits.serviceLength);
  if (!service) {
    return failed("service is malformed");
  }
  const hash = readWholeNumber(fields[9], fieldLimits.hash);
  if (hash < 0) {
    return failed("hash is out of range");
  }
  return ok({
    requestId,
    caller,
    classIndex,
    remainingMilliseconds,
    allowance,
    depth,
    entryIndex,
    service,
    hash,
  });
}

function encodeRequestId(requestId: string): string {
  return plainRequestIdPattern.test(requestId)
    ? requestId
    : encodedPrefix + Buffer.from(requestId).toString("base64url");
}

function decodeRequestId(text: string): string | undefined {
  let requestId: string | undefined;
  if (plainRequestIdPattern.test(text)) {
    requestId = text;
  } else if (encodedRequestIdPattern.test(text)) {
    requestId = Buffer.from(text.slice(encodedPrefix.length), "base64url")
      .toString();
  }
  const length = requestId?.length ?? 0;
  return length === 0 || length > fieldLimits.requestIdLength
    ? undefined
    : requestId;
}
