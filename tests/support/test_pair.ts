import type { LedgerPort, PeerCredential } from "../../src/node/mod.ts";
import { type StandInOptions, StandInTarget } from "./stand_in_target.ts";
import { startTestNode, type TestNode } from "./test_node.ts";

/** A node with the stand-in target beside it. */
export interface TestPair extends TestNode {
  readonly target: StandInTarget;
  /** Stops both. */
  close(): Promise<void>;
}

/** Settings of {@link startPair}. */
export interface PairOptions extends Partial<StandInOptions> {
  readonly ledger?: LedgerPort;
  readonly document?: string;
  /** Further lines of the node's settings. */
  readonly extraSettings?: string;
  readonly headersMilliseconds?: number;
  readonly peerCredential?: PeerCredential;
}

/**
 * Starts a node and its target, which has announced itself.
 * @param nodeId Name of the node.
 * @param options Behavior of both; the service is `front` by default.
 */
export async function startPair(
  nodeId: string,
  options: PairOptions = {},
): Promise<TestPair> {
  const service = options.service ?? "front";
  const { ledger, document, extraSettings: extra, headersMilliseconds } =
    options;
  const node = await startTestNode(nodeId, {
    service,
    ...(ledger && { ledger }),
    ...(document && { document }),
    ...(extra && { extraSettings: extra }),
    ...(headersMilliseconds && { headersMilliseconds }),
    peerCredential: options.peerCredential,
  });
  const target: StandInTarget = new StandInTarget({
    onCrash: () => void target.close(),
    ...options,
    service,
    nodePort: node.loopback,
  });
  await target.listen();
  await target.announce();
  return {
    ...node,
    target,
    close: async () => {
      await node.node.stop({ limitMilliseconds: 0 });
      await target.close().catch(() => {});
    },
  };
}

/** Tells each node of the targets of the others. */
export function connectPairs(pairs: readonly TestPair[]): void {
  const services = new Set(pairs.map(getService));
  for (const pair of pairs) {
    for (const service of services) {
      pair.node.updateView(
        service,
        pairs.filter((each) => getService(each) === service)
          .map((each) => each.getTarget()),
      );
    }
  }
}

function getService(pair: TestPair): string {
  return pair.node.state.settings.service;
}
