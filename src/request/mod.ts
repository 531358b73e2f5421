export type { Disposition } from "./disposition.ts";
export { type RefusalReason, refusalReasons } from "./refusal_reason.ts";
export type { RequestContext } from "./request_context.ts";
export {
  contextHeader,
  decodeContext,
  encodeContext,
  sanitizeCaller,
} from "./context_codec.ts";
export {
  type Answer,
  answerHeader,
  decodeAnswer,
  decodeAnswerHeaders,
  encodeAnswer,
  encodeAnswerHeaders,
  type LoadHint,
  type ServiceLevel,
  serviceTimeHeader,
} from "./answer_codec.ts";
export {
  type CallFailure,
  encodeErrorBody,
  getReasonStatus,
} from "./error_body.ts";
export { fieldLimits } from "./field_limits.ts";
export {
  type BodyHashes,
  getBodyHashes,
  StreamedBodyHashes,
} from "./body_hashes.ts";
export {
  type FingerprintHeaders,
  getClaimFingerprint,
  getRequestFingerprints,
} from "./fingerprint.ts";
