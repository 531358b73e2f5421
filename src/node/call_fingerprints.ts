import {
  type BodyHashes,
  getBodyHashes,
  getRequestFingerprints,
  StreamedBodyHashes,
} from "../request/mod.ts";
import type { CallBody, CallDetails } from "./call_details.ts";
import type { CallProtocol } from "./call_protocol.ts";

/**
 * Gets the fingerprints by which a call that crashes targets is recognized.
 * @param protocol Protocol of the callers and the target.
 * @param details The call.
 * @param body Its body; of a streamed one, the hashes of what was sent. Before
 * that, it is recognized by the chunks that were read.
 * @returns The fingerprints, from the widest to the narrowest.
 */
export function getCallFingerprints(
  protocol: CallProtocol,
  details: CallDetails,
  body: CallBody & { readonly hashes?: BodyHashes | undefined },
): readonly string[] {
  const { plan, method, path, headers, tenant } = details;
  const { fingerprintHeaders } = protocol;
  // A split may send the attempts of one request to several services.
  const isKnownByHost = fingerprintHeaders?.request.has("host") === true;
  return getRequestFingerprints({
    service: isKnownByHost ? undefined : plan.service.name,
    method,
    path,
    headers,
    tenant,
    body: body.body !== undefined
      ? getBodyHashes(body.body)
      : body.hashes ?? getHashesOfChunks(body),
  }, fingerprintHeaders);
}

function getHashesOfChunks({ source }: CallBody): BodyHashes {
  const hashes = new StreamedBodyHashes();
  source?.chunks.forEach((chunk) => hashes.update(chunk));
  return hashes;
}
