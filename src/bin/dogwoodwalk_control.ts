#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { readTokenFile } from "../authentication/mod.ts";
import {
  createLog,
  createMetrics,
  formatFinding,
  handleUnexpectedErrors,
  stopOnSignal,
  systemClock,
} from "../common/mod.ts";
import { createReplicatedLog } from "../consensus/mod.ts";
import { startControl } from "../control/mod.ts";
import { type ControlSettings, parseControlSettings } from "../settings/mod.ts";

/** Time after the stop limit at which the process ends, although it hangs. */
const exitMarginMilliseconds = 2000;
const exitCodes = { failed: 1, invalidInput: 2 } as const;

async function main(): Promise<void> {
  const command = new Command("dogwoodwalk-control")
    .description("Runs a control instance.")
    .argument("<settings>", "settings file (TOML)")
    .addHelpText(
      "after",
      "\nExample:\n  dogwoodwalk-control /etc/dogwoodwalk/control.toml",
    )
    .parse();
  const file = command.args[0] as string;
  const settings = readSettings(file);
  if (settings === undefined) {
    process.exitCode = exitCodes.invalidInput;
    return;
  }
  const token = readTokenFile(settings.tokenFile);
  if (token.kind === "error") {
    process.stderr.write(`${token.error}\n`);
    process.exitCode = exitCodes.invalidInput;
    return;
  }
  const eventLog = createLog({
    base: { process: "control", instance: settings.address },
  });
  const metrics = createMetrics({
    address: settings.statsd?.host,
    port: settings.statsd?.port,
  });
  handleUnexpectedErrors({
    log: eventLog,
    metrics,
    clock: systemClock,
    mayContinue: false,
  });
  const setStarted = stopOnSignal({
    signals: ["SIGTERM", "SIGINT"],
    limitMilliseconds: settings.stopLimitMilliseconds + exitMarginMilliseconds,
    log: eventLog,
    flush: (onWritten) => onWritten(),
  });
  const control = await startControl({
    settings,
    token: token.value,
    eventLog,
    metrics,
    openLog: (stateMachine, server) =>
      createReplicatedLog({
        dataFolder: settings.dataFolder,
        address: settings.address,
        initialMembers: settings.members,
        stateMachine,
        log: eventLog,
        token: token.value?.getSecret(),
        server,
        onFailure: () => metrics.increment("control.storage_failed", {}),
      }),
  });
  setStarted({
    stop: async () => {
      await control.stop();
      return 0;
    },
  });
}

function readSettings(file: string): ControlSettings | undefined {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    process.stderr.write(`${file}: ${(error as Error).message}\n`);
    return undefined;
  }
  const parsed = parseControlSettings(text, file);
  if (parsed.kind === "error") {
    for (const finding of parsed.error) {
      process.stderr.write(`${formatFinding(finding)}\n`);
    }
    return undefined;
  }
  return parsed.value;
}

main().catch((error) => {
  process.stderr.write(`dogwoodwalk-control: ${(error as Error).message}\n`);
  process.exit(exitCodes.failed);
});
