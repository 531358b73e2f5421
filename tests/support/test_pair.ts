import type { Clock } from "../../src/common/mod.ts";
import type { LedgerPort, PeerCredential } from "../../src/node/mod.ts";
import { type StandInOptions, StandInTarget } from "./stand_in_target.ts";
import { startTestNode, type TestNode } from "./test_node.ts";

/** A node and its stand-in target, both in this process. */
export interface TestPair extends TestNode {
  readonly target: StandInTarget;
  /** Stops the node and the target. */
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
  readonly clock?: Clock;
}

/**
 * Starts a node and its target, and announces the target.
 * @param nodeId Name of the node.
 * @param options Settings of both; the service is `front` by default.
 */
export async function startPair(
  nodeId: string,
  options: PairOptions = {},
): Promise<TestPair> {
  const service = options.service ?? "front";
  const { ledger, document, extraSettings, headersMilliseconds, clock } =
    options;
  const node = await startTestNode(nodeId, {
    service,
    ...(ledger && { ledger }),
    ...(document && { document }),
    ...(extraSettings && { extraSettings }),
    ...(headersMilliseconds && { headersMilliseconds }),
    ...(clock && { clock }),
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

/** Gives each node views with the targets of all pairs. */
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
