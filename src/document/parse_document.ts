import { failed, type Finding, ok, type Result } from "../common/mod.ts";
import { fieldLimits } from "../request/mod.ts";
import { parseTomlFile, type TomlTableReader } from "../toml/mod.ts";
import { CallGraph } from "./call_graph.ts";
import { getHostName } from "./host_name.ts";
import { readTenants } from "./read_tenants.ts";
import { getRouteServices } from "./route_services.ts";
import type {
  CallerLimits,
  DeclaredCall,
  EnvironmentDocument,
  KeyRequirement,
  LedgerSettings,
  Link,
  Placement,
  Route,
  Service,
  ShedSignal,
  WeightedService,
} from "./environment_document.ts";

/** Maximum of deadlines and other times in a document, in milliseconds. */
const maximumDeadlineMilliseconds = 600_000;
/** Maximum attempt allowance in a document. */
const maximumAttemptAllowance = 10_000;
const maximumRetentionSeconds = 90 * 24 * 3600;
const maximumAnswerBytes = 65_536;

/**
 * Parses and checks a document. All findings are reported together.
 * @param text The TOML text.
 * @param file Name of the file, for findings.
 * @returns The document, or every finding.
 */
export function parseDocument(
  text: string,
  file: string,
): Result<EnvironmentDocument, Finding[]> {
  const parsed = parseTomlFile(text, file);
  if (parsed.kind === "error") {
    return parsed;
  }
  const { reader, findings } = parsed.value;
  const document = readDocument(reader);
  if (findings.length > 0) {
    return failed(findings.toSorted((a, b) => a.line - b.line));
  }
  return ok(document);
}

function readDocument(reader: TomlTableReader): EnvironmentDocument {
  readFormat(reader);
  const classes = readClasses(reader);
  const services = readServices(reader);
  const routeReaders = reader.readTables("routes");
  const routes = routeReaders.map((each) => readRoute(each, classes));
  const document: EnvironmentDocument = {
    format: 1,
    objective: reader.readChoice("objective", ["goodput", "recovery"]),
    classes,
    callerHeader: reader.readString("caller_header", { optional: true })
      ?.toLowerCase(),
    maximumDepth: reader.readNumber("maximum_depth", {
      minimum: 1,
      maximum: 64,
      isInteger: true,
      fallback: 10,
    }),
    callerShare: reader.readNumber("caller_share", {
      minimum: 0.01,
      maximum: 1,
      isInteger: false,
      fallback: 0.5,
    }),
    quarantineSeconds: reader.readNumber("quarantine_seconds", {
      minimum: 1,
      maximum: maximumRetentionSeconds,
      isInteger: true,
      fallback: 3600,
    }),
    services,
    routes,
    links: reader.readTables("links").map(readLink),
    ledger: readLedgerSettings(reader),
    tenants: readTenants(reader, classes),
    callerLimits: readCallerLimits(reader),
  };
  reader.reportUnknownKeys();
  checkReferences(reader, document);
  checkRoutes(routeReaders, document);
  return document;
}

function readFormat(reader: TomlTableReader): void {
  reader.readNumber("format", { minimum: 1, maximum: 1, isInteger: true });
}

function readClasses(reader: TomlTableReader): string[] {
  const classes = reader.readStrings("classes");
  if (new Set(classes).size !== classes.length) {
    reader.addFinding("classes", "A class is named twice");
  }
  if (classes.length > 16) {
    reader.addFinding("classes", "Expected at most 16 classes");
  }
  return classes;
}

function readServices(reader: TomlTableReader): Map<string, Service> {
  const services = new Map<string, Service>();
  for (const [name, each] of reader.readNamedTables("services")) {
    services.set(name, readService(name, each));
  }
  if (services.size === 0) {
    reader.addFinding("services", "Expected at least one service");
  }
  return services;
}

function readService(name: string, reader: TomlTableReader): Service {
  if (!/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/.test(name)) {
    reader.addFinding("", "Expected a name of a-z, 0-9 and inner hyphens");
  }
  if (name.length > fieldLimits.serviceLength) {
    const message = `Longer than ${fieldLimits.serviceLength} characters`;
    reader.addFinding("", message);
  }
  const service: Service = {
    name,
    slots: reader.readNumber("slots", {
      minimum: 1,
      maximum: 100_000,
      isInteger: true,
    }),
    connections: reader.readNumber("connections", {
      minimum: 1,
      maximum: 100_000,
      isInteger: true,
    }),
    shedSignal: readShedSignal(reader.readTable("shed_signal")),
    retryRatio: reader.readNumber("retry_ratio", {
      minimum: 0,
      maximum: 1,
      isInteger: false,
      fallback: 0.1,
    }),
    warmUpMilliseconds: reader.readNumber("warm_up_ms", {
      minimum: 0,
      maximum: maximumDeadlineMilliseconds,
      isInteger: true,
      fallback: 3000,
    }),
    placement: reader.hasKey("placement")
      ? reader.readChoice<Placement>("placement", ["load", "completion-time"])
      : undefined,
  };
  reader.reportUnknownKeys();
  return service;
}

function readShedSignal(
  reader: TomlTableReader | undefined,
): ShedSignal | undefined {
  if (reader === undefined) {
    return undefined;
  }
  const signal: ShedSignal = {
    status: reader.readNumber("status", {
      minimum: 400,
      maximum: 599,
      isInteger: true,
    }),
    header: reader.readString("header", { optional: true })?.toLowerCase(),
  };
  reader.reportUnknownKeys();
  return signal;
}

function readRoute(reader: TomlTableReader, classes: readonly string[]): Route {
  const className = reader.readString("class");
  const classIndex = classes.indexOf(className);
  if (className !== "" && classIndex < 0) {
    reader.addFinding("class", `Class "${className}" is not in classes`);
  }
  const idempotent = reader.readBoolean("idempotent");
  const key = reader.readChoice<KeyRequirement>(
    "key",
    ["required", "optional", "none"],
    idempotent ? "none" : "optional",
  );
  const split = readSplit(reader);
  const route: Route = {
    service: split?.[0]?.service ?? reader.readString("service"),
    host: readHost(reader),
    split,
    maximumTargets: readOptionalNumber(
      reader,
      "maximum_targets",
      maximumAttemptAllowance,
    ),
    latencyGoalMilliseconds: readOptionalNumber(
      reader,
      "latency_goal_ms",
      maximumDeadlineMilliseconds,
    ),
    method: reader.readString("method"),
    path: reader.readString("path"),
    classIndex: Math.max(classIndex, 0),
    idempotent,
    isPublic: reader.hasKey("public")
      ? reader.readBoolean("public")
      : undefined,
    key,
    deadlineMilliseconds: reader.readNumber("deadline_ms", {
      minimum: 1,
      maximum: maximumDeadlineMilliseconds,
      isInteger: true,
    }),
    attemptAllowance: reader.readNumber("attempt_allowance", {
      minimum: 1,
      maximum: maximumAttemptAllowance,
      isInteger: true,
    }),
    calls: reader.readTables("calls").map(readDeclaredCall),
  };
  reader.reportUnknownKeys();
  checkRoutePattern(reader, route);
  return route;
}

function readHost(reader: TomlTableReader): string | undefined {
  const host = reader.readString("host", { optional: true });
  return host === undefined ? undefined : getHostName(host);
}

function readOptionalNumber(
  reader: TomlTableReader,
  key: string,
  maximum: number,
): number | undefined {
  return reader.hasKey(key)
    ? reader.readNumber(key, { minimum: 1, maximum, isInteger: true })
    : undefined;
}

function readSplit(reader: TomlTableReader): WeightedService[] | undefined {
  if (!reader.hasKey("split")) {
    return undefined;
  }
  if (reader.hasKey("service")) {
    reader.addFinding("split", "Allowed only without service");
  }
  return reader.readTables("split").map((each) => {
    const weightedService: WeightedService = {
      service: each.readString("service"),
      weight: each.readNumber("weight", {
        minimum: 1,
        maximum: 1_000_000,
        isInteger: true,
      }),
    };
    each.reportUnknownKeys();
    return weightedService;
  });
}

function readCallerLimits(
  documentReader: TomlTableReader,
): CallerLimits | undefined {
  const reader = documentReader.readTable("caller_limits");
  if (reader === undefined) {
    return undefined;
  }
  const read = (key: string, maximum: number) =>
    reader.readNumber(key, { minimum: 1, maximum, isInteger: true });
  const limits: CallerLimits = {
    headerBytes: read("header_bytes", 1024 * 1024),
    bodyBytes: read("body_bytes", 1024 * 1024 * 1024),
    headerMilliseconds: read("header_ms", maximumDeadlineMilliseconds),
    idleMilliseconds: read("idle_ms", maximumDeadlineMilliseconds),
  };
  reader.reportUnknownKeys();
  return limits;
}

function checkRoutePattern(reader: TomlTableReader, route: Route): void {
  if (route.path !== "" && !/^\/[^*?#\s]*\*?$/.test(route.path)) {
    reader.addFinding("path", "Expected a path such as /sheets or /sheets/*");
  }
  if (route.method !== "" && !/^([A-Z]+|\*)$/.test(route.method)) {
    reader.addFinding("method", "Expected a method in upper case, or *");
  }
}

function readDeclaredCall(reader: TomlTableReader): DeclaredCall {
  const call: DeclaredCall = {
    service: reader.readString("service"),
    count: reader.readNumber("count", {
      minimum: 1,
      maximum: 1000,
      isInteger: true,
      fallback: 1,
    }),
  };
  reader.reportUnknownKeys();
  return call;
}

function readLink(reader: TomlTableReader): Link {
  const link: Link = {
    from: reader.readString("from"),
    to: reader.readString("to"),
    bytesPerSecond: reader.readNumber("bytes_per_second", {
      minimum: 1,
      maximum: Number.MAX_SAFE_INTEGER,
      isInteger: true,
    }),
    reservedShare: reader.readNumber("reserved_share", {
      minimum: 0,
      maximum: 0.9,
      isInteger: false,
      fallback: 0.2,
    }),
  };
  if (link.from === link.to && link.from !== "") {
    reader.addFinding("to", "Expected a region other than that of from");
  }
  reader.reportUnknownKeys();
  return link;
}

function readLedgerSettings(documentReader: TomlTableReader): LedgerSettings {
  const reader = documentReader.readTable("ledger");
  const defaults = defaultLedgerSettings;
  if (reader === undefined) {
    return defaults;
  }
  const read = (key: string, fallback: number, maximum: number) =>
    reader.readNumber(key, { minimum: 0, maximum, isInteger: true, fallback });
  const result: LedgerSettings = {
    retentionSeconds: read(
      "retention_seconds",
      defaults.retentionSeconds,
      maximumRetentionSeconds,
    ),
    answerSeconds: read(
      "answer_seconds",
      defaults.answerSeconds,
      maximumRetentionSeconds,
    ),
    answerBytes: read("answer_bytes", defaults.answerBytes, maximumAnswerBytes),
    maximumClaims: read("maximum_claims", defaults.maximumClaims, 50_000_000),
  };
  if (result.answerSeconds > result.retentionSeconds) {
    reader.addFinding("answer_seconds", "Longer than retention_seconds");
  }
  reader.reportUnknownKeys();
  return result;
}

/** Settings of the ledger that apply when a document does not give them. */
export const defaultLedgerSettings: LedgerSettings = {
  // Eight days, so that a caller with a weekly cycle can resend with its key.
  retentionSeconds: 8 * 24 * 3600,
  answerSeconds: 3600,
  answerBytes: 4096,
  maximumClaims: 200_000,
};

function checkReferences(
  reader: TomlTableReader,
  document: EnvironmentDocument,
): void {
  document.routes.forEach((route, index) => {
    for (const service of getRouteServices(route)) {
      if (service !== "" && !document.services.has(service)) {
        reader.addFinding(
          `routes.${index}.service`,
          `Service "${service}" is not in services`,
        );
      }
    }
    route.calls.forEach((call, callIndex) => {
      if (call.service !== "" && !document.services.has(call.service)) {
        reader.addFinding(
          `routes.${index}.calls.${callIndex}.service`,
          `Service "${call.service}" is not in services`,
        );
      }
    });
  });
  checkDuplicateLinks(reader, document.links);
}

function checkDuplicateLinks(
  reader: TomlTableReader,
  links: readonly Link[],
): void {
  const seen = new Set<string>();
  links.forEach((link, index) => {
    const pair = [link.from, link.to].toSorted().join(" ");
    if (seen.has(pair)) {
      reader.addFinding(`links.${index}`, "The link is given twice");
    }
    seen.add(pair);
  });
}

function checkRoutes(
  readers: readonly TomlTableReader[],
  document: EnvironmentDocument,
): void {
  const graph = new CallGraph(document);
  const seen = new Set<string>();
  document.routes.forEach((route, index) => {
    const reader = readers[index];
    if (reader === undefined) {
      return;
    }
    const pattern = `${
      route.host ?? route.service
    } ${route.method} ${route.path}`;
    if (seen.has(pattern)) {
      reader.addFinding("path", "The route is given twice");
    }
    seen.add(pattern);
    checkRouteGraph(reader, graph, route, document);
  });
}

function checkRouteGraph(
  reader: TomlTableReader,
  graph: CallGraph,
  route: Route,
  document: EnvironmentDocument,
): void {
  const cycle = graph.getCycle(route.service);
  if (cycle !== undefined) {
    reader.addFinding("calls", `Calls form a cycle: ${cycle.join(" -> ")}`);
    return;
  }
  const requiredAttempts = graph.getRouteRequiredAttempts(route);
  if (requiredAttempts > route.attemptAllowance) {
    reader.addFinding(
      "attempt_allowance",
      `Smaller than the ${requiredAttempts} attempts that the declared calls need`,
    );
  }
  const depth = graph.getRouteDepth(route);
  if (depth > document.maximumDepth) {
    reader.addFinding(
      "calls",
      `Declared calls are ${depth} deep, more than maximum_depth`,
    );
  }
}
