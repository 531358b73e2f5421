import { getKeyDigest, parseDocument } from "../src/document/mod.ts";
import { inForceMilliseconds } from "./check_late_documents.ts";
import type {
  AcknowledgedChange,
  AcknowledgedDocument,
} from "./document_changer.ts";
import type { Exchange } from "./exchange.ts";
import { groupBy } from "./group_by.ts";
import type { SoakObservation, TargetRun } from "./soak_observation.ts";
import { getTenantOfKey } from "./soak_tenants.ts";
import { createViolation, type Violation } from "./violation.ts";

/** What callers, targets and operators saw. */
export interface TenantCheckInput
  extends Pick<SoakObservation, "exchanges" | "runs" | "timeline"> {
  /** All revisions. */
  readonly history: readonly AcknowledgedChange[];
  readonly acknowledged: readonly AcknowledgedDocument[];
  /** Gets the text of a revision, if it is known. */
  readonly getText: (revision: number) => string | undefined;
  readonly controlInstances: readonly string[];
}

/**
 * Checks that targets get the tenant of the key of each request and never the key,
 * and that no request with a withdrawn key runs once the change has to be in force.
 * @param input What was seen.
 * @returns The violations.
 */
export function checkTenants(input: TenantCheckInput): Violation[] {
  const runsById = groupBy(input.runs, (run) => run.call);
  const documents = new KeysOfRevisions(input.getText);
  const dueDocuments = new Map(
    [...new Set(input.exchanges.map(({ node }) => node))].map((node) =>
      [node, getDueDocuments(input, node)] as const
    ),
  );
  return input.exchanges.flatMap((exchange) => {
    const runs = runsById.get(exchange.request.id) ?? [];
    return [
      ...runs.flatMap((run) => checkRun(exchange, run)),
      ...checkWithdrawn(input, documents, {
        exchange,
        runs,
        dueDocuments: dueDocuments.get(exchange.node) ?? [],
      }),
    ];
  });
}

function checkRun({ request }: Exchange, run: TargetRun): Violation[] {
  const tenant = getTenantOfKey(request.accessKey ?? "")?.name;
  const fields = { request: request.id, node: run.node, path: run.path };
  return [
    ...(run.authorization === undefined
      ? []
      : [createViolation("leaked-key", fields)]),
    ...(run.tenant === tenant ? [] : [
      createViolation("wrong-tenant", { ...fields, tenant, got: run.tenant }),
    ]),
  ];
}

/** An acknowledged revision, and when a node must have it or a later one. */
interface DueRevision {
  readonly revision: number;
  readonly deadlineMilliseconds: number;
}

function getDueDocuments(
  { acknowledged, timeline, controlInstances }: TenantCheckInput,
  node: string,
): DueRevision[] {
  return acknowledged.map(({ revision, acknowledgedMilliseconds }) => ({
    revision,
    deadlineMilliseconds: timeline.getCalmDeadline(
      [`${node}-node`, ...controlInstances],
      {
        fromMilliseconds: acknowledgedMilliseconds,
        milliseconds: inForceMilliseconds,
      },
    ),
  }));
}

function checkWithdrawn(
  { acknowledged, history }: TenantCheckInput,
  documents: KeysOfRevisions,
  { exchange, runs, dueDocuments }: {
    exchange: Exchange;
    runs: readonly TargetRun[];
    dueDocuments: readonly DueRevision[];
  },
): Violation[] {
  const { request, node, sentMilliseconds, endMilliseconds, end } = exchange;
  const { accessKey } = request;
  if (runs.length === 0 || accessKey === undefined) {
    return [];
  }
  const due = dueDocuments.filter(({ deadlineMilliseconds }) =>
    deadlineMilliseconds < sentMilliseconds
  );
  const revision = Math.max(0, ...due.map((each) => each.revision));
  const starts = new Map(
    acknowledged.map((each) => [each.revision, each.startedMilliseconds]),
  );
  // A later revision may have been in force already. One that was never
  // acknowledged may have been made at any time.
  const possible = history.filter((each) =>
    each.revision >= revision &&
    (end === undefined || (starts.get(each.revision) ?? 0) <= endMilliseconds)
  );
  const isWithdrawn = revision > 0 &&
    possible.every((each) => !documents.mayHold(each.revision, accessKey));
  return isWithdrawn
    ? [createViolation("withdrawn-key", {
      request: request.id,
      node,
      revision,
      sent: new Date(sentMilliseconds).toISOString(),
    })]
    : [];
}

/** The keys that revisions hold; each text is parsed once. */
class KeysOfRevisions {
  readonly #getText: TenantCheckInput["getText"];
  readonly #digests = new Map<number, ReadonlySet<string> | undefined>();

  constructor(getText: TenantCheckInput["getText"]) {
    this.#getText = getText;
  }

  /** Reports whether a revision holds a key, or its text is unknown. */
  mayHold(revision: number, key: string): boolean {
    if (!this.#digests.has(revision)) {
      this.#digests.set(revision, this.#readDigests(revision));
    }
    return this.#digests.get(revision)?.has(getKeyDigest(key)) !== false;
  }

  #readDigests(revision: number): ReadonlySet<string> | undefined {
    const text = this.#getText(revision);
    const parsed = text === undefined
      ? undefined
      : parseDocument(text, "document.toml");
    return parsed?.kind === "ok"
      ? new Set(parsed.value.tenants?.flatMap((each) => each.keyDigests))
      : undefined;
  }
}
