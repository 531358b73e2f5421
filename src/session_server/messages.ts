import {
  type KnownTarget,
  type TargetRecord,
  toTargetRecord,
  type ViewDelta,
} from "../membership/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import {
  ControlMessage,
  SessionService,
  type ViewUpdate,
} from "../protocol/generated/session.ts";

/** An encoded message, which can be sent to many nodes. */
export type EncodedMessage = Buffer & { readonly isControlMessage?: true };

/** Definition of the Session service that also accepts encoded messages. */
export const sessionDefinition: typeof SessionService = {
  ...SessionService,
  open: {
    ...SessionService.open,
    responseSerialize: (message: ControlMessage | EncodedMessage): Buffer =>
      Buffer.isBuffer(message)
        ? message
        : SessionService.open.responseSerialize(message),
  },
};

/**
 * Encodes a message to a node.
 * @param message The variant to send.
 */
export function encodeControlMessage(
  message: ControlMessage["message"],
): EncodedMessage {
  return Buffer.from(
    ControlMessage.encode({ formatVersion, message }).finish(),
  );
}

/**
 * Creates the message for a change of a view.
 * @param delta The change.
 * @param options The service and the monotonic time.
 */
export function createViewUpdate(
  delta: ViewDelta,
  options: { service: string; now: number },
): ViewUpdate {
  return {
    service: options.service,
    full: delta.full,
    changed: delta.changed.map((target) => toWireTarget(target, options.now)),
    removedTargetIds: [...delta.removedTargetIds],
    digest: delta.digest,
    collecting: delta.collecting,
  };
}

/** Converts a stored target record to its wire message. */
export function toWireTarget(target: KnownTarget, now: number): TargetRecord {
  return toTargetRecord(target, now);
}
