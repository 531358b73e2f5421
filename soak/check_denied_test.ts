import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { strikeFundDocument } from "../tests/support/strike_fund_cluster.ts";
import { checkDenied } from "./check_denied.ts";
import { type DocumentRemoval, removeParts } from "./document_removal.ts";
import { DocumentsInForce, readDocumentStarts } from "./documents_in_force.ts";
import type { Disposition, Exchange, SoakRequest } from "./exchange.ts";
import type { RefusedCall } from "./soak_observation.ts";

const original = readFileSync(strikeFundDocument, "utf8");
const sentMilliseconds = 100_000;
const endMilliseconds = 101_000;
const treasury: DocumentRemoval = { service: "treasury" };
const balances: DocumentRemoval = {
  service: "member-portal",
  route: { method: "GET", path: "/balances/*" },
};
const rosters: DocumentRemoval = { service: "roster-registry" };

/** Documents that a node puts in force at certain times. */
type Changes = readonly {
  readonly atMilliseconds: number;
  readonly removals: readonly DocumentRemoval[];
}[];

const complete: Changes = [{ atMilliseconds: 0, removals: [] }];
/** The treasury is removed and restored before the request is sent. */
const removedBefore: Changes = [
  ...complete,
  { atMilliseconds: 50_000, removals: [treasury] },
  { atMilliseconds: 60_000, removals: [] },
];
const removedMeanwhile: Changes = [
  ...complete,
  { atMilliseconds: 100_300, removals: [balances] },
  { atMilliseconds: 100_600, removals: [] },
];
const removedAfterwards: Changes = [
  ...complete,
  { atMilliseconds: 102_000, removals: [treasury] },
];
const withoutTreasury: Changes = [{ atMilliseconds: 0, removals: [treasury] }];
const withoutRosters: Changes = [{ atMilliseconds: 0, removals: [rosters] }];

function createDocuments(service: string, changes: Changes): DocumentsInForce {
  const log = changes.map(({ atMilliseconds }, index) =>
    `level=info time=${new Date(atMilliseconds).toISOString()} ` +
    `revision=${index + 1} event="document in force"`
  ).join("\n");
  return new DocumentsInForce(
    service,
    readDocumentStarts(log),
    (revision) => removeParts(original, changes[revision - 1]?.removals ?? []),
  );
}

function createExchange(
  { request, status, reason, disposition = "not-run" }: {
    request: Partial<SoakRequest>;
    status: number;
    reason: string | undefined;
    disposition?: Disposition;
  },
): Exchange {
  return {
    request: {
      id: "a",
      method: "GET",
      host: "soak",
      path: "/balances/1",
      body: "",
      fillerBytes: 0,
      ...request,
    },
    client: "client",
    node: "portal-1",
    sentMilliseconds,
    endMilliseconds,
    end: {
      kind: "answered",
      status,
      disposition,
      reason,
      answeredId: undefined,
      fillerBytes: 0,
    },
  };
}

const toTreasury = { host: "treasury" };
const unknownRoute = { path: "/unknown/1", isUnknownRoute: true };
const keyed = { method: "POST", path: "/transfers", key: "k" } as const;

const cases: readonly {
  readonly name: string;
  readonly request?: Partial<SoakRequest>;
  readonly status: number;
  readonly reason: string | undefined;
  readonly changes?: Changes;
  readonly violations: readonly string[];
}[] = [
  { name: "200", status: 200, reason: undefined, violations: [] },
  { name: "503", status: 503, reason: "no-target", violations: [] },
  { name: "408", status: 408, reason: "malformed-request", violations: [] },
  { name: "429", status: 429, reason: "caller-share", violations: [] },
  { name: "302", status: 302, reason: "no-target", violations: ["denied"] },
  {
    name: "400",
    status: 400,
    reason: "malformed-request",
    violations: ["denied"],
  },
  { name: "413", status: 413, reason: "too-large", violations: ["denied"] },
  { name: "431", status: 431, reason: "too-large", violations: ["denied"] },
  { name: "499", status: 499, reason: "cancelled", violations: ["denied"] },
  { name: "404 of a target", status: 404, reason: undefined, violations: [] },
  {
    name: "404 for a route of the document",
    status: 404,
    reason: "unknown-route",
    violations: ["denied"],
  },
  {
    name: "404 for a called service of the document",
    request: toTreasury,
    status: 404,
    reason: "unknown-route",
    violations: ["denied"],
  },
  {
    name: "404 for a service that was missing earlier",
    request: toTreasury,
    status: 404,
    reason: "unknown-route",
    changes: removedBefore,
    violations: ["denied"],
  },
  {
    name: "404 for a service that is missing later",
    request: toTreasury,
    status: 404,
    reason: "unknown-route",
    changes: removedAfterwards,
    violations: ["denied"],
  },
  {
    name: "404 for a route that is there without the missing service",
    status: 404,
    reason: "unknown-route",
    changes: withoutTreasury,
    violations: ["denied"],
  },
  {
    name: "404 for a route that was missing meanwhile",
    status: 404,
    reason: "unknown-route",
    changes: removedMeanwhile,
    violations: [],
  },
  {
    name: "409 for a key in progress",
    request: keyed,
    status: 409,
    reason: "claim-in-progress",
    violations: [],
  },
  {
    name: "422 for a key that is used once",
    request: keyed,
    status: 422,
    reason: "key-conflict",
    violations: ["denied"],
  },
  {
    name: "400 to a malformed request",
    request: { isMalformed: true },
    status: 400,
    reason: "malformed-request",
    violations: [],
  },
  {
    name: "200 to a malformed request",
    request: { isMalformed: true },
    status: 200,
    reason: undefined,
    violations: ["accepted-invalid"],
  },
  {
    name: "404 to an unknown route",
    request: unknownRoute,
    status: 404,
    reason: "unknown-route",
    violations: [],
  },
  {
    name: "503 to an unknown route at a node without a document",
    request: unknownRoute,
    status: 503,
    reason: "no-target",
    violations: [],
  },
  {
    name: "503 to an unknown route at a node that may miss a document",
    request: unknownRoute,
    status: 503,
    reason: "document-unconfirmed",
    violations: [],
  },
  {
    name: "503 to an unknown route",
    request: unknownRoute,
    status: 503,
    reason: "peer-rejected",
    violations: ["accepted-invalid"],
  },
  {
    name: "200 to an unknown route",
    request: unknownRoute,
    status: 200,
    reason: undefined,
    violations: ["accepted-invalid"],
  },
];

for (const each of cases) {
  const { name, request = {}, status, reason, violations } = each;
  test(`${name}: ${violations.join() || "no violation"}`, () => {
    const documents = createDocuments(
      "member-portal",
      each.changes ?? complete,
    );
    const found = checkDenied({
      exchanges: [createExchange({ request, status, reason })],
      refusedCalls: [],
      documents: new Map([["portal-1", documents]]),
    });
    assert.deepEqual(found.map(({ kind }) => kind), violations);
  });
}

const nestedCases: readonly {
  readonly name: string;
  readonly status: number;
  readonly reason: string;
  readonly changes: Changes;
  readonly violations: readonly string[];
}[] = [
  {
    name: "404 for a service of the document",
    status: 404,
    reason: "unknown-route",
    changes: complete,
    violations: ["denied"],
  },
  {
    name: "404 for a service that the document lacks",
    status: 404,
    reason: "unknown-route",
    changes: withoutRosters,
    violations: [],
  },
  {
    name: "499 after the end of the request that made it",
    status: 499,
    reason: "cancelled",
    changes: complete,
    violations: [],
  },
];

for (const { name, status, reason, changes, violations } of nestedCases) {
  test(`a nested call, ${name}: ${violations.join() || "no violation"}`, () => {
    const refusedCall: RefusedCall = {
      run: {
        node: "treasury-1",
        service: "treasury",
        method: "GET",
        path: "/balances/1",
        request: "token",
        key: "",
        call: "a",
        bytes: 0,
        parent: "",
        startMilliseconds: sentMilliseconds,
        end: "call-refused",
      },
      refusal: {
        service: "roster-registry",
        method: "GET",
        path: "/rosters/1",
        status,
        reason,
        milliseconds: endMilliseconds,
      },
    };
    const found = checkDenied({
      exchanges: [],
      refusedCalls: [refusedCall],
      documents: new Map([
        ["treasury-1", createDocuments("treasury", changes)],
      ]),
    });
    assert.deepEqual(found.map(({ kind }) => kind), violations);
  });
}
