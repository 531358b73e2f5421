import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallFailure, RefusalReason } from "../request/mod.ts";
import type { TargetAnnouncement } from "./announced_target.ts";
import type { CallDetails } from "./call_details.ts";
import type { DocumentView, RoutePlan } from "./document_view.ts";
import type { ResponseHead } from "./exchange.ts";
import type { NodeState } from "./node_state.ts";
import type { RequestTarget } from "./request_target.ts";
import type { TargetCall } from "./target_call.ts";

/** A request that arrived from a caller or from the target beside the node. */
export interface ReceivedRequest {
  readonly state: NodeState;
  readonly view: DocumentView;
  readonly request: IncomingMessage;
  readonly target: RequestTarget;
  /** Alternating names and values for the next hop; may be changed. */
  readonly headers: string[];
  /** Whether it came by the outside listener. */
  readonly isOutside: boolean;
  /** Gets the call that the target beside the node was given under a token. */
  getCall(token: string): TargetCall | undefined;
  /** Gets the call that runs at the target under the identity of a request. */
  getCallOfRequest(requestId: string): TargetCall | undefined;
}

/** What a protocol reads from a request that enters at this node. */
export interface AcceptedCall {
  readonly kind: "accepted";
  readonly plan: RoutePlan;
  /** The call of the target beside this node that made this one. */
  readonly parent: TargetCall | undefined;
  readonly key: string | undefined;
  /** Chosen by the caller; the parent's or a new one when absent. */
  readonly requestId?: string;
  /** Time that the caller waits; a deadline that ends sooner holds. */
  readonly callerMilliseconds?: number;
  /** Whether the call has the route's allowance beside that of its parent. */
  readonly hasOwnAllowance?: boolean;
  /** Class of the call; that of the route when absent. */
  readonly classIndex?: number;
}

/** Why a request does not enter. */
export interface RefusedCall {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly message?: string;
}

/** A call that is about to be sent to the target beside the node. */
export interface DispatchedCall {
  readonly details: CallDetails;
  /** Names the call at this node. */
  readonly token: string;
  readonly announcement: TargetAnnouncement | undefined;
  readonly remainingMilliseconds: number;
}

/** What a response on the connection of a call is. */
export type ResponseClassification =
  /** The target's response to the call. */
  | "own"
  /** The target's promise that it did not run the call. */
  | "not-run"
  /** Bytes that belong to another call or to none. */
  | "foreign";

/** How callers outside and the target beside a node speak to it. */
export interface CallProtocol {
  /**
   * Whether small responses to all calls are held until they are complete, so
   * that one that breaks off becomes a failure with a reason.
   */
  readonly buffersResponses: boolean;
  /** Gets the class of the calls that a target makes for a call. */
  getNestedClassIndex(classIndex: number): number;
  /** Reads a request of a caller or of the target. */
  parseRequest(arrived: ReceivedRequest): AcceptedCall | RefusedCall;
  /**
   * Adds the headers that only the target gets.
   * @param headers Alternating names and values; taken off again after use.
   * @param call The call.
   */
  addTargetHeaders(headers: string[], call: DispatchedCall): void;
  /** Tells what a response on the connection of a call is. */
  classifyResponse(
    head: ResponseHead,
    details: CallDetails,
  ): ResponseClassification;
  /** Tells a caller of a refusal or failure. */
  writeFailure(
    response: ServerResponse,
    failure: CallFailure,
    requestId: string,
  ): void;
}
