import { setTimeout as sleep } from "node:timers/promises";
import { type StandInOptions, StandInTarget } from "./stand_in_target.ts";

const retryMilliseconds = 200;

/**
 * Runs a stand-in target as a process. Its only argument holds the options as
 * JSON, and it writes its port to standard output. SIGUSR2 starts a drain.
 */
const options = JSON.parse(process.argv[2] ?? "{}") as StandInOptions & {
  port?: number;
};
const target = new StandInTarget({
  ...options,
  onCrash: () => process.exit(70),
});
process.on("SIGUSR2", () => {
  target.notifyNode("drain").catch(() => {});
});
process.on("SIGTERM", () => {
  target.stopRenewing();
  target.notifyNode("leave").catch(() => {}).finally(() => process.exit(0));
});
await target.listen(options.port ?? 0);
if (options.nodePort) {
  await announceOrRetry();
}
process.stdout.write(`port=${target.port}\n`);

/** Announces the target once its node runs. */
async function announceOrRetry(): Promise<void> {
  while (true) {
    try {
      return await target.announce();
    } catch {
      await sleep(retryMilliseconds);
    }
  }
}
