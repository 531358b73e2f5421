import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallFailure,
  decodeContext,
  encodeAnswerHeaders,
  type RefusalReason,
  type RequestContext,
} from "../request/mod.ts";
import { writeFailure } from "./caller_response.ts";
import { copyHeaders, getRequestError } from "./forwarded_headers.ts";
import { InboundCall } from "./inbound_call.ts";
import type { NodeState } from "./node_state.ts";
import { peerHeader } from "./peer_credential.ts";
import { recordPeerRefusal } from "./record_peer_refusal.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { repeatHeader } from "./repeat_header.ts";
import { readRequestTarget } from "./request_target.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";
import { getScopedKey, tenantHeader } from "./tenant_header.ts";

/** Handles the calls that other nodes send to the local target. */
export class PeerRequestHandler {
  readonly #state: NodeState;
  readonly #dispatcher: TargetDispatcher;
  readonly #calls = new Set<InboundCall>();

  /**
   * @param state State that the components of the node share.
   * @param dispatcher Dispatcher of the local target.
   */
  constructor(state: NodeState, dispatcher: TargetDispatcher) {
    this.#state = state;
    this.#dispatcher = dispatcher;
  }

  /** Gets the calls of other nodes in progress. */
  get calls(): Iterable<InboundCall> {
    return this.#calls;
  }

  /** Gets the number of calls of other nodes in progress. */
  get callCount(): number {
    return this.#calls.size;
  }

  /** Refuses the calls that the target cannot have received. */
  refuseUnsentCalls(): void {
    [...this.#calls].forEach((call) => call.refuseIfUnsent());
  }

  /** Ends all calls because the process ends. */
  abortCalls(): void {
    [...this.#calls].forEach((call) => call.abort());
  }

  /** Validates a request of another node and starts its call. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { view, settings, clock, peerCredential, protocol } = this.#state;
    const text = request.headers["dogwoodwalk-context"];
    const decoded = decodeContext(typeof text === "string" ? text : "");
    const presentedCredential = request.headers[peerHeader] as
      | string
      | undefined;
    if (peerCredential?.isValid(presentedCredential) === false) {
      const message =
        `${peerHeader} is missing or was derived from another token`;
      // The allowance of an unknown sender is not returned to it.
      const context = decoded.kind === "ok"
        ? { ...decoded.value, allowance: 0 }
        : undefined;
      this.#refuse(response, "malformed-request", { context, message });
      return;
    }
    if (decoded.kind === "error") {
      const message = `dogwoodwalk-context is malformed: ${decoded.error}`;
      this.#refuse(response, "malformed-request", { message });
      return;
    }
    const context = decoded.value;
    if (context.service !== settings.service) {
      // The address belonged to a node of another service when the sender
      // received it.
      const message = `The target of this node belongs to ${settings.service}`;
      this.#refuse(response, "no-target", { context, message });
      return;
    }
    const target = readRequestTarget(request, protocol);
    if (target === undefined) {
      const message = "The request target is malformed";
      this.#refuse(response, "malformed-request", { context, message });
      return;
    }
    if (view === undefined) {
      const message = "This node has no document yet";
      this.#refuse(response, "no-target", { context, message });
      return;
    }
    const method = request.method ?? "";
    const { service } = settings;
    const plan = view.hasHostRoutes
      ? view.getFallbackPlan(service)
      : view.getPlan({ service, method, path: target.routePath });
    if (plan === undefined) {
      this.#refuse(response, "unknown-route", { context });
      return;
    }
    if (context.depth > view.document.maximumDepth) {
      this.#refuse(response, "depth-exceeded", { context });
      return;
    }
    const framing = copyHeaders(request.rawHeaders);
    const message = getRequestError(framing);
    if (message !== undefined) {
      this.#refuse(response, "malformed-request", { context, message });
      return;
    }
    const tenant = request.headers[tenantHeader] as string | undefined;
    const key = getScopedKey(
      request.headers["idempotency-key"] as string | undefined,
      tenant,
    );
    const call = new InboundCall(this.#dispatcher, this.#state, {
      details: {
        plan,
        requestId: context.requestId,
        caller: context.caller,
        tenant,
        // The sender may have a document with more classes.
        classIndex: Math.min(
          context.classIndex,
          view.document.classes.length - 1,
        ),
        depth: context.depth,
        hash: context.hash,
        entryIndex: context.entryIndex,
        deadlineMilliseconds: clock.monotonicMilliseconds() +
          context.remainingMilliseconds,
        method,
        path: target.path,
        headers: framing.headers,
        key,
        needsClaim: key !== undefined && !plan.route.idempotent &&
          plan.route.key !== "none",
      },
      framing,
      allowance: context.allowance,
      isRepeat: request.headers[repeatHeader] !== undefined,
      request,
      response,
      onEnd: (ended) => this.#calls.delete(ended),
    });
    this.#calls.add(call);
    call.start();
  }

  #refuse(
    response: ServerResponse,
    reason: RefusalReason,
    options: { context?: RequestContext | undefined; message?: string },
  ): void {
    const { context } = options;
    const message = options.message ?? getRefusalMessage(reason);
    const failure: CallFailure = { disposition: "not-run", reason, message };
    const requestId = context?.requestId ?? "";
    recordPeerRefusal(this.#state, {
      failure,
      requestId,
      hash: context?.hash ?? 0,
      service: context?.service,
      senderAddress: response.req.socket.remoteAddress,
    });
    writeFailure(response, failure, {
      requestId,
      answer: encodeAnswerHeaders({
        disposition: "not-run",
        reason,
        unusedAttempts: context?.allowance ?? 0,
        levels: [],
      }),
    });
  }
}
