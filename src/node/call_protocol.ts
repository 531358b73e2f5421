import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  CallFailure,
  FingerprintHeaders,
  RefusalReason,
} from "../request/mod.ts";
import type { TargetAnnouncement } from "./announced_target.ts";
import type { CallDetails } from "./call_details.ts";
import type { DocumentView, RoutePlan } from "./document_view.ts";
import type { ResponseHead } from "./exchange.ts";
import type { NodeState } from "./node_state.ts";
import type { RequestTarget } from "./request_target.ts";
import type { TargetCall } from "./target_call.ts";

/** A request from a caller or from the local target. */
export interface ReceivedRequest {
  readonly state: NodeState;
  readonly view: DocumentView;
  readonly request: IncomingMessage;
  readonly target: RequestTarget;
  /** Alternating names and values for the next hop; may be changed. */
  readonly headers: string[];
  /** Whether the request was received by the outside listener. */
  readonly isOutside: boolean;
  /** Gets the call that was sent to the local target with a token. */
  getCall(token: string): TargetCall | undefined;
  /** Gets the call that the local target runs for a request ID. */
  getCallOfRequest(requestId: string): TargetCall | undefined;
}

/** A call that a protocol parsed from a request and accepted. */
export interface AcceptedCall {
  readonly kind: "accepted";
  readonly plan: RoutePlan;
  /** The call at the local target that made this one. */
  readonly parent: TargetCall | undefined;
  readonly key: string | undefined;
  /** ID chosen by the caller; that of the parent or a new one when absent. */
  readonly requestId?: string;
  /** Time that the caller waits; the earlier of it and the deadline applies. */
  readonly callerMilliseconds?: number;
  /** Whether the call gets the route's allowance instead of its parent's. */
  readonly hasOwnAllowance?: boolean;
  /** Name of the tenant or caller that the call counts for. */
  readonly caller?: string | undefined;
  /** Tenant whose name targets get in `dogwoodwalk-tenant`. */
  readonly tenant?: string | undefined;
  /** Tenant of a client whose quota the call uses; absent for nested calls. */
  readonly quotaTenant?: string | undefined;
  /** Index of the class; that of the route when absent. */
  readonly classIndex?: number | undefined;
}

/** What is known about a request before it is accepted. */
export type UnacceptedRequest = Pick<
  ReceivedRequest,
  "request" | "isOutside" | "getCall"
>;

/** A request that a protocol refused. */
export interface RefusedCall {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly message?: string;
}

/** A call that is about to be sent to the local target. */
export interface DispatchedCall {
  readonly details: CallDetails;
  /** Identifies the call at this node. */
  readonly token: string;
  readonly announcement: TargetAnnouncement | undefined;
  readonly remainingMilliseconds: number;
}

/** Meaning of a response on the connection of a call. */
export type ResponseClassification =
  /** The target's response to the call. */
  | "own"
  /** A statement of the target that it did not run the call. */
  | "not-run"
  /** A response that belongs to another call or to none. */
  | "foreign";

/** Protocol in which callers and the local target communicate with a node. */
export interface CallProtocol {
  /**
   * Whether small responses to all calls are buffered until they are complete,
   * so that the caller gets a failure with a reason for an aborted one.
   */
  readonly buffersResponses: boolean;
  /** Maximum size of the headers of a request, in bytes; at most 64 KiB. */
  readonly headerBytes: number;
  /**
   * Whether a path may contain dot segments. They are refused where a target
   * could resolve them to the path of another route.
   */
  readonly allowsDotSegments: boolean;
  /** Headers of this protocol in the fingerprints of requests; absent for none. */
  readonly fingerprintHeaders?: FingerprintHeaders;
  /** Gets the idempotency key of a request. Absent without keys. */
  getKey?(request: IncomingMessage): string | undefined;
  /**
   * Gets the class of the request of a client that calls of a class are part of.
   * Admission levels compare this class, so that all calls of a request have the
   * same priority.
   */
  getRequestClassIndex(classIndex: number): number;
  /** Gets the ID of a request that is not accepted; empty when it has none. */
  getRequestId(received: UnacceptedRequest): string;
  /** Parses a request of a caller or of the local target. */
  parseRequest(received: ReceivedRequest): AcceptedCall | RefusedCall;
  /**
   * Appends the headers that only the target gets.
   * @param headers Alternating names and values. The appended ones are removed
   * again once the request is created.
   * @param call The call.
   */
  addTargetHeaders(headers: string[], call: DispatchedCall): void;
  /** Classifies a response on the connection of a call. */
  classifyResponse(
    head: ResponseHead,
    details: CallDetails,
  ): ResponseClassification;
  /** Writes the response for a refusal or failure. */
  writeFailure(
    response: ServerResponse,
    failure: CallFailure,
    requestId: string,
  ): void;
}
