// Runs a case: exit code 1 if a rule was broken, 0 if all held, 2 if the case
// could not run.
import { CaseRecord, Installation } from "./installation.mjs";

/** A case runs for 120 seconds at most. */
const limitMilliseconds = 112_000;

/**
 * @param folder Folder of the case, which gets record.txt.
 * @param options Services of the nodes, in order, and number of control
 * instances.
 * @param play Plays the case; gets the installation, the record and whether the
 * disruption is wanted, and returns one text for each broken rule.
 */
export async function runCase(folder, options, play) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const record = new CaseRecord(folder);
  let installation;
  let exitCode = 2;
  const endNow = (text) => {
    record.add(text);
    record.write();
    for (const machine of installation?.machines ?? []) {
      machine.signal("SIGKILL");
    }
    installation?.removeFiles();
    process.exit(2);
  };
  setTimeout(() => endNow("the time is up"), limitMilliseconds).unref();
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, () => endNow(`ended by ${signal}`));
  }
  // Otherwise an error of the script would end with 1, and leave processes.
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, (error) => endNow(`could not run: ${error?.stack}`));
  }
  try {
    installation = await Installation.create({ record, ...options });
    record.add(
      hasTrouble ? "with the disruption" : "without the disruption",
    );
    const broken = await play({ installation, record, hasTrouble });
    broken.forEach((each) => record.add(`BROKEN ${each}`));
    record.add(broken.length > 0 ? "a rule was broken" : "the rules held");
    exitCode = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  }
  try {
    await installation?.close();
  } catch (error) {
    record.add(`close: ${error.message}`);
    exitCode = 2;
  }
  record.write();
  process.exit(exitCode);
}
