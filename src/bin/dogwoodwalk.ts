#!/usr/bin/env node
import process from "node:process";
import { runCommandLine } from "../command_line/mod.ts";

process.exitCode = await runCommandLine(process.argv.slice(2), {
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  isTerminal: process.stderr.isTTY === true,
});
