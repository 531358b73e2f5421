import { isIP } from "node:net";
import { failed, type Finding, ok, type Result } from "../common/mod.ts";
import type { QuotaTerms } from "../quotas/mod.ts";
import { parseTomlFile, type TomlTableReader } from "../toml/mod.ts";
import { readQuotaTerms } from "./quota_terms.ts";
import { type Endpoint, readEndpoint } from "./endpoint.ts";
import { type ListenerLimits, readListenerLimits } from "./listener_limits.ts";

/** Settings of a node process. */
export interface NodeSettings {
  readonly nodeId: string;
  readonly environment: string;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Listener for requests of callers. */
  readonly outside: Endpoint;
  /** Listener for other nodes. */
  readonly node: Endpoint;
  /** Listener for the target and for operators on the same machine. */
  readonly loopback: Endpoint;
  /** Address at which other nodes reach the node listener. */
  readonly nodeAddress?: string | undefined;
  /**
   * Address of a target that does not announce itself; absent when the target
   * announces its address to the node.
   */
  readonly target?: Endpoint | undefined;
  /** Time without renewal after which an announced target is removed. */
  readonly targetLeaseMilliseconds: number;
  /** Addresses (host:port) of control instances. */
  readonly controlAddresses: readonly string[];
  readonly tokenFile?: string | undefined;
  readonly statsd?: Endpoint | undefined;
  /** Time that calls in flight have to finish after SIGTERM. */
  readonly stopLimitMilliseconds: number;
  /** How far tenants may exceed their quotas; not at all when absent. */
  readonly quotaTerms?: QuotaTerms | undefined;
  /** Limits of the listener for callers; defaults when absent. */
  readonly outsideLimits?: ListenerLimits | undefined;
  /** Document to use without control addresses; for tests on one machine. */
  readonly documentFile?: string | undefined;
}

/**
 * Parses the settings of a node. All findings of the file are reported
 * together.
 * @param text The TOML text.
 * @param file Name of the file, used in findings.
 * @returns The settings, or every finding.
 */
export function parseNodeSettings(
  text: string,
  file: string,
): Result<NodeSettings, Finding[]> {
  const parsed = parseTomlFile(text, file);
  if (parsed.kind === "error") {
    return parsed;
  }
  const { reader, findings } = parsed.value;
  const settings = readSettings(reader);
  checkRelatedKeys(reader, settings);
  reader.reportUnknownKeys();
  if (findings.length > 0) {
    return failed(findings.toSorted((a, b) => a.line - b.line));
  }
  return ok(settings);
}

function readSettings(reader: TomlTableReader): NodeSettings {
  return {
    nodeId: readName(reader, "node_id"),
    environment: readName(reader, "environment"),
    service: readName(reader, "service"),
    region: readName(reader, "region"),
    availabilityZone: readName(reader, "availability_zone"),
    outside: readEndpoint(reader, "outside", { allowsPortZero: true }),
    node: readEndpoint(reader, "node", { allowsPortZero: true }),
    loopback: readEndpoint(reader, "loopback", { allowsPortZero: true }),
    nodeAddress: readOptionalAddress(reader, "node_address"),
    target: readOptionalEndpoint(reader, "target"),
    targetLeaseMilliseconds: reader.readNumber("target_lease_ms", {
      minimum: 100,
      maximum: 60_000,
      isInteger: true,
      fallback: 3000,
    }),
    controlAddresses: readControlAddresses(reader),
    tokenFile: reader.readString("token_file", { optional: true }),
    statsd: readOptionalEndpoint(reader, "statsd"),
    // Longer than usual call deadlines, so that calls in flight end by their
    // own deadlines instead of being aborted at this limit.
    stopLimitMilliseconds: reader.readNumber("stop_limit_ms", {
      minimum: 0,
      maximum: 600_000,
      isInteger: true,
      fallback: 30_000,
    }),
    quotaTerms: readQuotaTerms(reader),
    outsideLimits: readListenerLimits(reader),
    documentFile: reader.readString("document_file", { optional: true }),
  };
}

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

function readName(reader: TomlTableReader, key: string): string {
  const name = reader.readString(key);
  if (name !== "" && !namePattern.test(name)) {
    reader.addFinding(
      key,
      "Expected at most 64 letters, digits, dots, hyphens and underscores",
    );
  }
  return name;
}

function readOptionalEndpoint(
  reader: TomlTableReader,
  key: string,
): Endpoint | undefined {
  return reader.hasKey(key) ? readEndpoint(reader, key) : undefined;
}

function readOptionalAddress(
  reader: TomlTableReader,
  key: string,
): string | undefined {
  const endpoint = readOptionalEndpoint(reader, key);
  return endpoint && `${endpoint.host}:${endpoint.port}`;
}

function readControlAddresses(reader: TomlTableReader): readonly string[] {
  const addresses = reader.readStrings("control_addresses", { optional: true });
  if (addresses.length > 7) {
    reader.addFinding("control_addresses", "Expected at most 7 addresses");
  }
  for (const address of addresses) {
    if (!/^[^:\s]+:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/.test(address)) {
      reader.addFinding(
        "control_addresses",
        `Expected host:port, found "${address}"`,
      );
    }
  }
  return addresses;
}

function checkRelatedKeys(
  reader: TomlTableReader,
  settings: NodeSettings,
): void {
  if (settings.controlAddresses.length === 0 && !settings.documentFile) {
    reader.addFinding(
      "control_addresses",
      "Expected control_addresses or document_file",
    );
  }
  if (settings.controlAddresses.length > 0 && settings.documentFile) {
    reader.addFinding(
      "document_file",
      "Allowed only without control_addresses",
    );
  }
  if (isRemotelyReachable(settings.loopback.host)) {
    reader.addFinding("loopback", "Expected a loopback address");
  }
  if (settings.tokenFile === undefined) {
    for (const key of ["outside", "node"] as const) {
      if (isRemotelyReachable(settings[key].host)) {
        reader.addFinding(
          key,
          "Expected a loopback address, because token_file is not set",
        );
      }
    }
  }
}

/**
 * Reports whether other machines can reach a listener on this host. False for
 * an empty host, because that already has a finding.
 */
function isRemotelyReachable(host: string): boolean {
  const isLoopback = host === "localhost" || host === "::1" ||
    (isIP(host) === 4 && host.startsWith("127."));
  return host !== "" && !isLoopback;
}
