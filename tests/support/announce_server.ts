import type { AddressInfo, Server } from "node:net";
import type { TestContext } from "node:test";
import type { TestPair } from "./test_pair.ts";

/**
 * Starts a server, and announces it as the target of a node instead of the
 * stand-in.
 * @param context Test at whose end the server is closed.
 * @param pair The node.
 * @param server The server; it must not listen yet.
 */
export async function announceServer(
  context: TestContext,
  pair: TestPair,
  server: Server,
): Promise<void> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  pair.node.targetDispatcher.target.announce({
    endpoint: { host: "127.0.0.1", port },
    incarnation: Date.now() + 1000,
  }, { hasLease: false });
}
