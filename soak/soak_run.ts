import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { createSeededRandom } from "../src/common/mod.ts";
import type { Cluster } from "../tests/support/cluster.ts";
import { readRecord } from "../tests/support/run_record.ts";
import {
  getNodes,
  startStrikeFundCluster,
} from "../tests/support/strike_fund_cluster.ts";
import { checkHistory, checkNodeRevisions } from "./check_documents.ts";
import { checkDenied } from "./check_denied.ts";
import { checkDrains } from "./check_drains.ts";
import { checkExchanges } from "./check_exchanges.ts";
import { checkLateDocuments, getDueDocuments } from "./check_late_documents.ts";
import { checkNestedCalls } from "./check_nested_calls.ts";
import { checkTenants } from "./check_tenants.ts";
import { checkTransfers } from "./check_transfers.ts";
import {
  type AcknowledgedChange,
  DocumentChanger,
  originalText,
} from "./document_changer.ts";
import type { DocumentRemoval } from "./document_removal.ts";
import {
  DocumentsInForce,
  type DocumentStart,
  readDocumentStarts,
} from "./documents_in_force.ts";
import type { Exchange } from "./exchange.ts";
import { ProcessSupervisor } from "./process_supervisor.ts";
import { ProcessTimeline } from "./process_timeline.ts";
import {
  runTransferClient,
  runViewClient,
  type ViewBehavior,
  viewBehaviors,
} from "./soak_client.ts";
import { separateEntries, type SoakObservation } from "./soak_observation.ts";
import {
  createSoakPlan,
  type SoakAction,
  type SoakEvent,
  type SoakSize,
} from "./soak_plan.ts";
import { type SoakTenant, soakTenants } from "./soak_tenants.ts";
import { TargetDrainer } from "./target_drainer.ts";
import {
  createViolation,
  formatViolation,
  type Violation,
} from "./violation.ts";

/** Above every deadline of the document and the time that slow readers take. */
const stopLimitMilliseconds = 10_000;
const serviceMilliseconds = 40;
/** Clients, which bound the load of runs with many nodes. */
const maximumViewClients = 48;
const maximumTransferClients = 12;
/** Time in which every request that was sent must have ended. */
const lastAnswerMilliseconds = 60_000;

/** Result of a run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Figures for the summary line. */
  readonly counts: Readonly<Record<string, number>>;
  /** Folder with the logs and records; absent if they were removed. */
  readonly folder?: string;
}

/**
 * Plays the plan of a seed against running processes, under load, and checks
 * what callers and targets saw.
 * @param size Seed, duration and number of processes.
 * @returns Violations and figures.
 */
export async function runSoak(size: SoakSize): Promise<SoakResult> {
  const cluster = await startStrikeFundCluster({
    ...getCounts(size),
    treasuryServiceMilliseconds: serviceMilliseconds,
    serviceMilliseconds,
    stopLimitMilliseconds,
    keepsOutput: true,
    document: originalText,
    viewHeaders: {
      authorization: `Bearer ${soakTenants[0]?.steadyKey}`,
    },
  });
  const run = new SoakRun(cluster, size);
  const violations: Violation[] = [];
  try {
    violations.push(...await run.play());
  } catch (error) {
    const message = (error as Error).stack ?? String(error);
    violations.push(createViolation("run-failed", { message }));
  }
  const isPassed = violations.length === 0;
  run.end();
  await cluster.stop({ keepsFiles: !isPassed });
  if (!isPassed) {
    run.writeFiles(violations);
  }
  return {
    violations,
    counts: run.getCounts(),
    ...(isPassed ? {} : { folder: cluster.folder }),
  };
}

/** Divides the nodes among the services. */
function getCounts(size: SoakSize) {
  const { nodeCount, controlCount } = size;
  const portalCount = Math.max(1, Math.round(nodeCount * 0.4));
  const treasuryCount = Math.max(1, Math.round(nodeCount * 0.35));
  const rosterCount = Math.max(1, nodeCount - portalCount - treasuryCount);
  return { portalCount, treasuryCount, rosterCount, controlCount };
}

/** One run against a cluster. */
class SoakRun {
  readonly #cluster: Cluster;
  readonly #size: SoakSize;
  readonly #plan: SoakEvent[];
  readonly #timeline = new ProcessTimeline();
  readonly #exchanges: Exchange[] = [];
  readonly #supervisor: ProcessSupervisor;
  readonly #changer: DocumentChanger;
  readonly #drainer: TargetDrainer;
  #unconfirmedChanges = 0;
  #removals = 0;
  #withdrawals = 0;
  #dueDocuments = 0;
  #isRunning = true;

  constructor(cluster: Cluster, size: SoakSize) {
    this.#cluster = cluster;
    this.#size = size;
    this.#plan = createSoakPlan(size);
    this.#supervisor = new ProcessSupervisor(cluster, this.#timeline);
    this.#changer = new DocumentChanger(cluster);
    this.#drainer = new TargetDrainer(cluster, this.#timeline);
  }

  /** Plays the plan and returns the violations. */
  async play(): Promise<Violation[]> {
    const clients = this.#startClients();
    await this.#playEvents();
    await this.#supervisor.waitUntilFree();
    const endMilliseconds = Date.now();
    const history = await this.#readHistory();
    await this.#supervisor.stopAll("node");
    this.#isRunning = false;
    await Promise.race([Promise.all(clients), sleep(lastAnswerMilliseconds)]);
    await this.#supervisor.stopAll("control");
    const observation = this.#createObservation();
    const documents = {
      acknowledged: this.#changer.acknowledged,
      starts: this.#readDocumentStarts(),
      controlInstances: this.#cluster.controlAddresses.map((_, index) =>
        `control-${index}`
      ),
      timeline: this.#timeline,
      endMilliseconds,
    };
    this.#dueDocuments = getDueDocuments(documents).length;
    return [
      ...this.#supervisor.violations,
      ...checkExchanges(observation),
      ...checkNestedCalls(observation),
      ...checkTransfers(observation),
      ...checkDrains(observation, this.#drainer.confirmed),
      ...checkDenied({
        ...observation,
        documents: this.#createDocumentsInForce(history, documents.starts),
      }),
      ...checkTenants({
        ...observation,
        ...documents,
        history,
        getText: this.#createGetText(history),
      }),
      ...checkHistory(this.#changer.acknowledged, history),
      ...checkLateDocuments(documents),
      ...this.#cluster.nodes.flatMap(({ name }) =>
        checkNodeRevisions(name, this.#readLog(`${name}-node`))
      ),
    ];
  }

  /** Ends the load, and starts no process again. */
  end(): void {
    this.#isRunning = false;
    this.#supervisor.release();
  }

  /** Gets the figures of the run. */
  getCounts(): Record<string, number> {
    const ends = this.#exchanges.map(({ end }) => end);
    const countDisposition = (disposition: string) =>
      ends.filter((end) =>
        end?.kind === "answered" && end.disposition === disposition
      ).length;
    const unanswered = this.#exchanges.filter(({ end }) =>
      end?.kind === "unanswered"
    );
    const { stops } = this.#timeline;
    return {
      events: this.#plan.length,
      skipped: this.#supervisor.skipped,
      processes: this.#cluster.nodes.length * 2 +
        this.#cluster.controlAddresses.length,
      stops: stops.length,
      longestStop: Math.max(0, ...stops.map((each) => each.milliseconds)),
      failedStops:
        stops.filter(({ code, signal }) => code !== 0 && signal === null)
          .length,
      revisions: this.#changer.acknowledged.length,
      unconfirmedChanges: this.#unconfirmedChanges,
      removals: this.#removals,
      withdrawals: this.#withdrawals,
      unknownKeys: this.#countKnownRoutes(401),
      dueDocuments: this.#dueDocuments,
      drains: this.#drainer.confirmed.length,
      requests: this.#exchanges.length,
      unknownRoutes: this.#countKnownRoutes(404),
      ran: countDisposition("ran"),
      notRun: countDisposition("not-run"),
      unknown: countDisposition("unknown"),
      unansweredBehindClose:
        unanswered.filter((each) => each.closedBy !== undefined).length,
      unansweredOther:
        unanswered.filter((each) => each.closedBy === undefined).length,
    };
  }

  /** Writes the plan, the exchanges and the violations beside the logs. */
  writeFiles(violations: readonly Violation[]): void {
    const write = (name: string, lines: readonly string[]) =>
      writeFileSync(
        join(this.#cluster.folder, name),
        lines.join("\n") + "\n",
      );
    write("violations.txt", violations.map(formatViolation));
    write("plan.jsonl", this.#plan.map((each) => JSON.stringify(each)));
    write("timeline.jsonl", [
      ...this.#timeline.entries.map((each) => JSON.stringify(each)),
      ...this.#timeline.stops.map((each) => JSON.stringify(each)),
    ]);
    write(
      "exchanges.jsonl",
      this.#exchanges.map((each) =>
        JSON.stringify({ ...each, closedBy: each.closedBy?.request.id })
      ),
    );
  }

  #startClients(): Promise<void>[] {
    const { seed } = this.#size;
    const createOptions = (name: string, index: number) => ({
      name,
      random: createSeededRandom(seed * 1000 + index),
      keyRandom: createSeededRandom(seed * 1000 + 900 + index),
      tenant: soakTenants[index % soakTenants.length] as SoakTenant,
      exchanges: this.#exchanges,
      isRunning: () => this.#isRunning,
    });
    const { nodes } = this.#cluster;
    const transferNodes = ["member-portal", "treasury"].map((service) =>
      getNodes(this.#cluster, service)
    );
    return [
      ...[...nodes, ...nodes].slice(0, maximumViewClients).map((node, index) =>
        runViewClient(
          node,
          viewBehaviors[(index + seed) % viewBehaviors.length] as ViewBehavior,
          createOptions(`v${index}`, index),
        )
      ),
      ...nodes.slice(0, maximumTransferClients).map((_, index) =>
        runTransferClient(
          transferNodes[index % 2] ?? [],
          createOptions(`t${index}`, 500 + index),
        )
      ),
    ];
  }

  async #playEvents(): Promise<void> {
    const start = Date.now();
    const acting: Promise<void>[] = [];
    for (const { atMilliseconds, action } of this.#plan) {
      await sleep(Math.max(0, start + atMilliseconds - Date.now()));
      acting.push(this.#act(action));
    }
    await sleep(Math.max(0, start + this.#size.seconds * 1000 - Date.now()));
    await Promise.all(acting);
  }

  #act(action: SoakAction): Promise<void> {
    return match(action)
      .with({ kind: "stop" }, (each) => this.#supervisor.stopAndStart(each))
      .with({ kind: "kill" }, (each) => this.#supervisor.kill(each))
      .with({ kind: "freeze" }, (each) => this.#supervisor.freeze(each))
      .with({ kind: "roll" }, (each) => this.#supervisor.roll(each.process))
      .with({ kind: "apply" }, (each) => this.#apply(each.warmUpMilliseconds))
      .with({ kind: "remove" }, (each) => this.#remove(each))
      .with({ kind: "withdraw" }, (each) => this.#withdraw(each))
      .with({ kind: "drain" }, async (each) => {
        const node = this.#cluster.nodes[each.index];
        if (node !== undefined) {
          await this.#drainer.drain(node, each.milliseconds);
        }
      })
      .exhaustive();
  }

  async #apply(warmUpMilliseconds: number): Promise<void> {
    this.#countChange(await this.#changer.apply(warmUpMilliseconds));
  }

  async #remove(
    { removal, milliseconds }: SoakAction & { kind: "remove" },
  ): Promise<void> {
    // Removals of the same part may overlap.
    const part: DocumentRemoval = { ...removal };
    this.#removals++;
    const removed = this.#changer.remove(part);
    await sleep(milliseconds);
    this.#countChange(await removed);
    this.#countChange(await this.#changer.restore(part));
  }

  async #withdraw(
    { tenant, milliseconds }: SoakAction & { kind: "withdraw" },
  ): Promise<void> {
    this.#withdrawals++;
    const withdrawn = this.#changer.withdrawKey(tenant);
    await sleep(milliseconds);
    this.#countChange(await withdrawn);
    this.#countChange(await this.#changer.addKey(tenant));
  }

  #countChange(isAcknowledged: boolean): void {
    if (!isAcknowledged) {
      this.#unconfirmedChanges++;
    }
  }

  /** Counts the responses with a status to requests with a known route. */
  #countKnownRoutes(status: number): number {
    return this.#exchanges.filter(({ request, end }) =>
      request.isUnknownRoute !== true && end?.kind === "answered" &&
      end.status === status
    ).length;
  }

  /** Creates a function that gets the text of a revision. */
  #createGetText(
    history: readonly AcknowledgedChange[],
  ): (revision: number) => string | undefined {
    const changeIds = new Map(
      history.map((each) => [each.revision, each.changeId]),
    );
    return (revision) =>
      this.#changer.getText(
        revision === 1 ? undefined : changeIds.get(revision) ?? "",
      );
  }

  #createDocumentsInForce(
    history: readonly AcknowledgedChange[],
    starts: ReadonlyMap<string, readonly DocumentStart[]>,
  ): Map<string, DocumentsInForce> {
    const getText = this.#createGetText(history);
    return new Map(this.#cluster.nodes.map(({ name, service }) => [
      name,
      new DocumentsInForce(
        service,
        starts.get(name) ?? [],
        getText,
      ),
    ]));
  }

  #readDocumentStarts(): Map<string, DocumentStart[]> {
    return new Map(this.#cluster.nodes.map(({ name }) => [
      name,
      readDocumentStarts(this.#readLog(`${name}-node`)),
    ]));
  }

  async #readHistory() {
    const end = Date.now() + lastAnswerMilliseconds;
    while (Date.now() < end) {
      const history = await this.#changer.getHistory();
      if (history !== undefined) {
        return history;
      }
      await sleep(500);
    }
    throw new Error("No control instance returned the history");
  }

  #createObservation(): SoakObservation {
    const entries = this.#cluster.nodes.flatMap((node) =>
      readRecord(node.recordFile).map((each) => ({ ...each, node: node.name }))
    );
    return {
      exchanges: this.#exchanges,
      timeline: this.#timeline,
      ...separateEntries(entries),
    };
  }

  #readLog(process: string): string {
    const file = join(this.#cluster.folder, `${process}.log`);
    return existsSync(file) ? readFileSync(file, "utf8") : "";
  }
}
