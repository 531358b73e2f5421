#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { Command } from "commander";
import {
  createClientInterceptor,
  readTokenFile,
  type Token,
} from "../authentication/mod.ts";
import {
  createLog,
  createMetrics,
  formatFinding,
  handleUnexpectedErrors,
  stopOnSignal,
  systemClock,
} from "../common/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { ControlLink, NodeProcess, PeerCredential } from "../node/mod.ts";
import { type NodeSettings, parseNodeSettings } from "../settings/mod.ts";

/** Time after the stop limit at which the process ends, although it hangs. */
const exitMarginMilliseconds = 2000;

const program = new Command("dogwoodwalk-node")
  .description("Runs the node beside one target.")
  .argument("<settings>", "settings file (TOML)")
  .addHelpText(
    "after",
    "\nExample:\n  dogwoodwalk-node /etc/dogwoodwalk/node.toml",
  )
  .parse();
const file = program.args[0] as string;

const parsed = parseNodeSettings(readTextFile(file), file);
if (parsed.kind === "error") {
  exitWithError(parsed.error.map(formatFinding).join("\n"), 2);
}
await run(parsed.value);

async function run(settings: NodeSettings): Promise<void> {
  const log = createLog({
    base: { process: "node", node: settings.nodeId },
  });
  const token = readToken(settings);
  const metrics = createMetrics({
    address: settings.statsd?.host,
    port: settings.statsd?.port,
  });
  handleUnexpectedErrors({
    log,
    metrics,
    clock: systemClock,
    mayContinue: true,
  });
  const node = new NodeProcess(settings, {
    log,
    peerCredential: token && new PeerCredential(token.getSecret()),
    metrics,
  });
  if (settings.documentFile !== undefined) {
    applyDocumentFile(node, settings.documentFile);
  }
  const setStarted = stopOnSignal({
    signals: ["SIGTERM", "SIGINT"],
    limitMilliseconds: settings.stopLimitMilliseconds + exitMarginMilliseconds,
    log,
    flush: (onWritten) => onWritten(),
  });
  try {
    await node.start();
  } catch (error) {
    exitWithError(`Cannot listen: ${(error as Error).message}`, 1);
  }
  const link = connectControl(node, settings, token);
  setStarted({
    stop: async () => {
      link?.announceLeave();
      const { abortedCalls } = await node.stop();
      await link?.stop();
      return abortedCalls > 0 ? 1 : 0;
    },
  });
}

function connectControl(
  node: NodeProcess,
  settings: NodeSettings,
  token: Token | undefined,
): ControlLink | undefined {
  if (settings.controlAddresses.length === 0) {
    return undefined;
  }
  return new ControlLink(node, {
    interceptors: token === undefined ? [] : [createClientInterceptor(token)],
    nodeAddress: settings.nodeAddress ??
      `${settings.node.host}:${node.node.port}`,
  });
}

function readToken(settings: NodeSettings): Token | undefined {
  const token = readTokenFile(settings.tokenFile);
  if (token.kind === "error") {
    exitWithError(token.error, 2);
  }
  return token.value;
}

function applyDocumentFile(node: NodeProcess, documentFile: string): void {
  const document = parseDocument(readTextFile(documentFile), documentFile);
  if (document.kind === "error") {
    exitWithError(document.error.map(formatFinding).join("\n"), 2);
  }
  node.applyDocument(document.value, 1);
}

function readTextFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    exitWithError(`Cannot read ${path}: ${(error as Error).message}`, 2);
  }
}

function exitWithError(message: string, code: number): never {
  process.stderr.write(message + "\n");
  process.exit(code);
}
