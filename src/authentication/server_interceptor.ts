import {
  Metadata,
  ServerInterceptingCall,
  type ServerInterceptor,
  status,
} from "@grpc/grpc-js";
import type { Token } from "./token.ts";

/**
 * Creates an interceptor that rejects calls without the token before they reach
 * a handler.
 * @param token The token.
 * @returns The interceptor, for the options of a gRPC server.
 */
export function createServerInterceptor(token: Token): ServerInterceptor {
  return (_method, call) =>
    new ServerInterceptingCall(call, {
      start: (next) =>
        next({
          onReceiveMetadata: (metadata, nextMetadata) => {
            const header = String(metadata.get("authorization")[0] ?? "");
            if (token.isValidAuthorizationHeader(header)) {
              nextMetadata(metadata);
              return;
            }
            call.sendStatus({
              code: status.UNAUTHENTICATED,
              details: "The token is missing or wrong",
              metadata: new Metadata(),
            });
          },
        }),
    });
}
