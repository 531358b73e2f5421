import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster } from "../tests/support/cluster.ts";
import { strikeFundDocument } from "../tests/support/strike_fund_cluster.ts";
import { type DocumentRemoval, removeParts } from "./document_removal.ts";
import { addTenants } from "./soak_tenants.ts";

/** A document change that a control instance acknowledged. */
export interface AcknowledgedChange {
  readonly revision: number;
  readonly changeId: string;
}

/** An acknowledged change, with the time of the acknowledgement. */
export interface AcknowledgedDocument extends AcknowledgedChange {
  /** Time at which the command that made it was first run. */
  readonly startedMilliseconds: number;
  readonly acknowledgedMilliseconds: number;
}

interface ChangeOutput {
  readonly revision?: number;
  readonly currentRevision?: number;
}

const resendPauseMilliseconds = 300;
const maximumSends = 30;
const exitCodes = { ok: 0, conflict: 3 } as const;
const textWithoutTenants = readFileSync(strikeFundDocument, "utf8");
/** The document that a run starts with. */
export const originalText: string = addTenants(textWithoutTenants);

/** Applies documents with the command line, as operators do. */
export class DocumentChanger {
  readonly acknowledged: AcknowledgedDocument[] = [];
  readonly #cluster: Cluster;
  readonly #removals = new Set<DocumentRemoval>();
  /** Indexes of the tenants whose changing key is withdrawn. */
  readonly #withdrawn = new Set<number>();
  /** Texts of the changes, by number. */
  readonly #texts = new Map<number, string>();
  #revision = 1;
  #changes = 0;

  /** @param cluster A cluster that has revision 1 in force. */
  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /**
   * Removes a part of the document.
   * @param removal The part.
   * @returns Whether the change was acknowledged.
   */
  remove(removal: DocumentRemoval): Promise<boolean> {
    this.#removals.add(removal);
    return this.apply();
  }

  /**
   * Restores a part of the document.
   * @param removal The value with which the part was removed.
   * @returns Whether the change was acknowledged.
   */
  restore(removal: DocumentRemoval): Promise<boolean> {
    this.#removals.delete(removal);
    return this.apply();
  }

  /**
   * Withdraws the changing key of a tenant.
   * @param tenant Index of the tenant.
   * @returns Whether the change was acknowledged.
   */
  withdrawKey(tenant: number): Promise<boolean> {
    this.#withdrawn.add(tenant);
    return this.apply();
  }

  /**
   * Adds the changing key of a tenant again.
   * @param tenant Index of the tenant.
   * @returns Whether the change was acknowledged.
   */
  addKey(tenant: number): Promise<boolean> {
    this.#withdrawn.delete(tenant);
    return this.apply();
  }

  /**
   * Applies a changed document, without the parts that are removed. Resends the
   * change while its outcome is unknown, and gives it a new base after a conflict
   * with another one.
   * @param warmUpMilliseconds A value that distinguishes the document; absent
   * for that of the original document.
   * @returns Whether the change was acknowledged.
   */
  async apply(warmUpMilliseconds?: number): Promise<boolean> {
    const change = ++this.#changes;
    const file = join(this.#cluster.folder, `document-${change}.toml`);
    const parts = removeParts(textWithoutTenants, [...this.#removals]);
    const text = addTenants(parts, [...this.#withdrawn]) +
      `# Change ${change}\n`;
    this.#texts.set(
      change,
      warmUpMilliseconds === undefined ? text : text.replaceAll(
        /^warm_up_ms = .*$/gm,
        `warm_up_ms = ${warmUpMilliseconds}`,
      ),
    );
    writeFileSync(file, this.#texts.get(change) as string);
    let conflicts = 0;
    let base = this.#revision;
    let startedMilliseconds = Date.now();
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
        this.acknowledged.push({
          revision: result.revision,
          changeId,
          startedMilliseconds,
          acknowledgedMilliseconds: Date.now(),
        });
        this.#revision = Math.max(this.#revision, result.revision);
        return true;
      }
      if (code === exitCodes.conflict) {
        conflicts++;
        startedMilliseconds = Date.now();
        base = result.currentRevision ?? this.#revision;
      } else {
        await sleep(resendPauseMilliseconds);
      }
    }
    return false;
  }

  /**
   * Gets the document of a revision.
   * @param changeId Identity of the change that made it; absent for the original
   * document.
   * @returns The text; `undefined` if the change is not one of this changer.
   */
  getText(changeId: string | undefined): string | undefined {
    if (changeId === undefined) {
      return originalText;
    }
    return this.#texts.get(Number(/^change-(\d+)-/.exec(changeId)?.[1]));
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
