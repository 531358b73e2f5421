import { createLog } from "../../src/common/mod.ts";
import {
  type EnvironmentDocument,
  parseDocument,
} from "../../src/document/mod.ts";
import { NodeProcess, type NodeProcessOptions } from "../../src/node/mod.ts";
import type { RoutingTarget } from "../../src/routing/mod.ts";
import { parseNodeSettings } from "../../src/settings/mod.ts";

/** Document of the tests, in which the service `front` calls `back`. */
export const testDocument = `format = 1
objective = "goodput"
classes = ["high", "low"]
caller_header = "x-member"
caller_share = 1.0

[services.front]
slots = 4
connections = 16
warm_up_ms = 0
retry_ratio = 1.0
shed_signal = { status = 503, header = "x-shed" }

[services.back]
slots = 4
connections = 16
warm_up_ms = 0
retry_ratio = 1.0

[[routes]]
service = "front"
method = "POST"
path = "/transfers"
class = "high"
idempotent = false
key = "required"
deadline_ms = 20000
attempt_allowance = 6
calls = [{ service = "back" }]

[[routes]]
service = "front"
method = "*"
path = "/views/*"
class = "low"
idempotent = true
deadline_ms = 20000
attempt_allowance = 6
calls = [{ service = "back" }]

[[routes]]
service = "front"
method = "GET"
path = "/short"
class = "low"
idempotent = true
deadline_ms = 300
attempt_allowance = 2

[[routes]]
service = "front"
method = "POST"
path = "/plain"
class = "low"
idempotent = false
deadline_ms = 20000
attempt_allowance = 6

[[routes]]
service = "back"
method = "*"
path = "/*"
class = "low"
idempotent = true
deadline_ms = 20000
attempt_allowance = 4
`;

/** A node in this process, and the lines that it has logged. */
export interface TestNode {
  readonly node: NodeProcess;
  readonly logLines: string[];
  /** Port of the listener for calls from outside. */
  readonly outside: number;
  /** Port of the listener for the target. */
  readonly loopback: number;
  /** Gets the node's target as it appears in the views of other nodes. */
  getTarget(): RoutingTarget;
}

/**
 * Starts a node in this process on free ports, with the test document.
 * @param nodeId Name of the node.
 * @param options Service, document, further lines of the node's settings, and
 * options of the node.
 */
export async function startTestNode(
  nodeId: string,
  options: Partial<NodeProcessOptions> & {
    service?: string;
    document?: string;
    extraSettings?: string;
  } = {},
): Promise<TestNode> {
  const service = options.service ?? "front";
  const settings = parseNodeSettings(
    `node_id = "${nodeId}"
environment = "trial"
service = "${service}"
region = "Muntenia"
availability_zone = "muntenia-a"
outside = "127.0.0.1:0"
node = "127.0.0.1:0"
loopback = "127.0.0.1:0"
document_file = "document.toml"
${options.extraSettings ?? ""}
`,
    "node.toml",
  );
  if (settings.kind === "error") {
    throw new Error(JSON.stringify(settings.error));
  }
  const logLines: string[] = [];
  const log = createLog({ write: (line) => logLines.push(line) });
  const node = new NodeProcess(settings.value, { log, ...options });
  await node.start();
  node.applyDocument(parseTestDocument(options.document), 1);
  return {
    node,
    logLines,
    outside: node.outside.port,
    loopback: node.loopback.port,
    getTarget: () => ({
      targetId: nodeId,
      nodeAddress: `127.0.0.1:${node.node.port}`,
      region: "Muntenia",
      availabilityZone: "muntenia-a",
      incarnation: 1,
      isDraining: false,
      ageMilliseconds: 100_000,
    }),
  };
}

/** Parses the test document, or another one. */
export function parseTestDocument(text = testDocument): EnvironmentDocument {
  const document = parseDocument(text, "document.toml");
  if (document.kind === "error") {
    throw new Error(JSON.stringify(document.error));
  }
  return document.value;
}
