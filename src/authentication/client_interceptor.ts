import { InterceptingCall, type Interceptor } from "@grpc/grpc-js";
import type { Token } from "./token.ts";

/**
 * Creates an interceptor that sends the token with each call.
 * @param token The token.
 * @returns The interceptor, for the options of a gRPC client.
 */
export function createClientInterceptor(token: Token): Interceptor {
  return (options, nextCall) =>
    new InterceptingCall(nextCall(options), {
      start: (metadata, listener, next) => {
        metadata.set("authorization", token.getAuthorizationHeader());
        next(metadata, listener);
      },
    });
}
