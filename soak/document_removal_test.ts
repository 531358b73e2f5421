import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { parseDocument } from "../src/document/mod.ts";
import { strikeFundDocument } from "../tests/support/strike_fund_cluster.ts";
import { type DocumentRemoval, removeParts } from "./document_removal.ts";

const original = readFileSync(strikeFundDocument, "utf8");
const treasury: DocumentRemoval = { service: "treasury" };
const rosters: DocumentRemoval = { service: "roster-registry" };
const transfers: DocumentRemoval = {
  service: "treasury",
  route: { method: "POST", path: "/transfers" },
};

const cases: readonly {
  readonly name: string;
  readonly removals: readonly DocumentRemoval[];
  readonly services: number;
  readonly routes: number;
}[] = [
  { name: "nothing", removals: [], services: 4, routes: 7 },
  { name: "a service", removals: [treasury], services: 3, routes: 5 },
  { name: "a called service", removals: [rosters], services: 3, routes: 6 },
  { name: "services", removals: [treasury, rosters], services: 2, routes: 4 },
  { name: "a route", removals: [transfers], services: 4, routes: 6 },
  {
    name: "a service and its route",
    removals: [transfers, treasury],
    services: 3,
    routes: 5,
  },
];

for (const { name, removals, services, routes } of cases) {
  test(`a document without ${name} is valid`, () => {
    const parsed = parseDocument(removeParts(original, removals), "trial.toml");
    assert.equal(parsed.kind, "ok", JSON.stringify(parsed));
    if (parsed.kind === "ok") {
      assert.equal(parsed.value.services.size, services);
      assert.equal(parsed.value.routes.length, routes);
    }
  });
}
