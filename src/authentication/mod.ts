export { createServerInterceptor } from "./server_interceptor.ts";
export { createClientInterceptor } from "./client_interceptor.ts";
export { isLoopbackHost, readTokenFile, Token } from "./token.ts";
