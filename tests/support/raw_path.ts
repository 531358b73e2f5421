import { createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";
import { announceServer } from "./announce_server.ts";
import { connectPairs, startPair, type TestPair } from "./test_pair.ts";

/** Answers the first bytes of a connection with raw bytes. */
export type RawHandler = (socket: Socket) => void;

/** A node for callers, and the node of the target; both can be the same. */
export interface RawPath {
  readonly origin: TestPair;
  readonly last: TestPair;
  readonly call: { port: number; path: string; headers: { Host: string } };
}

/**
 * Starts one node, or two nodes of which the second has the target.
 * @param context Test at whose end the nodes are stopped.
 * @param nodeCount 1 or 2.
 * @param handler The target.
 */
export async function startRawPath(
  context: TestContext,
  nodeCount: number,
  handler: RawHandler,
): Promise<RawPath> {
  const origin = await startPair("front-1");
  context.after(() => origin.close());
  let last = origin;
  if (nodeCount === 2) {
    const second = await startPair("back-1", { service: "back" });
    context.after(() => second.close());
    connectPairs([origin, second]);
    last = second;
  }
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => handler(socket));
    socket.on("end", () => socket.end());
  });
  await announceServer(context, last, server);
  const Host = nodeCount === 2 ? "back" : "front";
  const call = { port: origin.outside, path: "/views/1", headers: { Host } };
  return { origin, last, call };
}
