import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster } from "../tests/support/cluster.ts";
import { strikeFundDocument } from "../tests/support/strike_fund_cluster.ts";

/** A document change that a control instance acknowledged. */
export interface AcknowledgedChange {
  readonly revision: number;
  readonly changeId: string;
}

interface ChangeOutput {
  readonly revision?: number;
  readonly currentRevision?: number;
}

const resendPauseMilliseconds = 300;
const maximumSends = 30;
const exitCodes = { ok: 0, conflict: 3 } as const;

/** Applies documents with the command line, as operators do. */
export class DocumentChanger {
  readonly acknowledged: AcknowledgedChange[] = [];
  readonly #cluster: Cluster;
  #revision = 1;
  #changes = 0;

  /** @param cluster A cluster that has revision 1 in force. */
  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /**
   * Applies a changed document. Resends the change while its outcome is unknown,
   * and gives it a new base after a conflict with another one.
   * @param warmUpMilliseconds The value that distinguishes the document.
   * @returns Whether the change was acknowledged.
   */
  async apply(warmUpMilliseconds: number): Promise<boolean> {
    const change = ++this.#changes;
    const file = join(this.#cluster.folder, `document-${change}.toml`);
    writeFileSync(
      file,
      readFileSync(strikeFundDocument, "utf8").replaceAll(
        /^warm_up_ms = .*$/gm,
        `warm_up_ms = ${warmUpMilliseconds}`,
      ) + `# Change ${change}\n`,
    );
    let conflicts = 0;
    let base = this.#revision;
    for (let send = 0; send < maximumSends; send++) {
      const changeId = `change-${change}-${conflicts}`;
      const { code, output } = await this.#cluster.runCommand(
        "apply",
        this.#cluster.environment,
        file,
        "--base",
        String(base),
        "--change-id",
        changeId,
        "--json",
      );
      const result = parseOutput(output);
      if (code === exitCodes.ok && result.revision !== undefined) {
        this.acknowledged.push({ revision: result.revision, changeId });
        this.#revision = Math.max(this.#revision, result.revision);
        return true;
      }
      if (code === exitCodes.conflict) {
        conflicts++;
        base = result.currentRevision ?? this.#revision;
      } else {
        await sleep(resendPauseMilliseconds);
      }
    }
    return false;
  }

  /** Gets the history of the environment, newest revision first. */
  async getHistory(): Promise<readonly AcknowledgedChange[] | undefined> {
    const { code, output } = await this.#cluster.runCommand(
      "history",
      this.#cluster.environment,
      "--limit",
      "2000",
      "--json",
    );
    return code === exitCodes.ok
      ? (parseOutput(output) as { revisions?: AcknowledgedChange[] }).revisions
      : undefined;
  }
}

/** Parses the JSON in the output of a command; empty if there is none. */
function parseOutput(output: string): ChangeOutput {
  const start = output.indexOf("{");
  return start < 0 ? {} : JSON.parse(output.slice(start)) as ChangeOutput;
}
