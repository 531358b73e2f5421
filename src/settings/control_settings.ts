import { isLoopbackHost } from "../authentication/mod.ts";
import { failed, type Finding, ok, type Result } from "../common/mod.ts";
import type { QuotaTerms } from "../quotas/mod.ts";
import { parseTomlFile, type TomlTableReader } from "../toml/mod.ts";
import { readQuotaTerms } from "./quota_terms.ts";
import { type Endpoint, parseEndpoint, readEndpoint } from "./endpoint.ts";

/** Size of a document that every instance has the memory to parse. */
export const defaultDocumentBytes: number = 1024 * 1024;
/** Leaves room for 10,000 tenants with 100,000 keys, which take 5 MiB. */
const maximumDocumentBytes = 8 * 1024 * 1024;

/** Maximum number of instances in a control group. */
const maximumMemberCount = 7;

/** Settings of a control process. */
export interface ControlSettings {
  readonly dataFolder: string;
  /** Listener for all gRPC services. */
  readonly listen: Endpoint;
  /** Address (host:port) at which nodes and other instances reach this one. */
  readonly address: string;
  /**
   * Addresses of the initial members of a new group, in the same order in the
   * settings of every member. Empty for an instance that is added to an
   * existing group.
   */
  readonly members: readonly string[];
  readonly region: string;
  readonly availabilityZone: string;
  readonly tokenFile?: string | undefined;
  readonly statsd?: Endpoint | undefined;
  /** Maximum size of a document; `defaultDocumentBytes` when absent. */
  readonly maximumDocumentBytes?: number | undefined;
  /** Time that calls in flight have to finish after SIGTERM. */
  readonly stopLimitMilliseconds: number;
  /** How far tenants may exceed their quotas; not at all when absent. */
  readonly quotaTerms?: QuotaTerms | undefined;
}

/**
 * Parses the settings of a control process. All findings of the file are
 * reported together.
 * @param text The TOML text.
 * @param file Name of the file, used in findings.
 * @returns The settings, or every finding.
 */
export function parseControlSettings(
  text: string,
  file: string,
): Result<ControlSettings, Finding[]> {
  const parsed = parseTomlFile(text, file);
  if (parsed.kind === "error") {
    return parsed;
  }
  const { reader, findings } = parsed.value;
  const settings = readSettings(reader);
  const { address, members } = settings;
  if (members.length > 0 && !members.includes(address)) {
    reader.addFinding(
      "members",
      `Expected ${address}, the address of this instance, in the list`,
    );
  }
  if (settings.tokenFile === undefined) {
    reportUnauthenticatedListener(reader, settings.listen);
  }
  reader.reportUnknownKeys();
  if (findings.length > 0) {
    return failed(findings.toSorted((a, b) => a.line - b.line));
  }
  return ok(settings);
}

function readSettings(reader: TomlTableReader): ControlSettings {
  const listen = readEndpoint(reader, "listen");
  return {
    dataFolder: reader.readString("data_folder"),
    listen,
    address: reader.hasKey("address")
      ? readAddress(reader, "address")
      : formatEndpoint(listen),
    members: readMembers(reader),
    region: reader.readString("region"),
    availabilityZone: reader.readString("availability_zone"),
    tokenFile: reader.readString("token_file", { optional: true }),
    statsd: reader.hasKey("statsd")
      ? readEndpoint(reader, "statsd")
      : undefined,
    maximumDocumentBytes: reader.readNumber("maximum_document_bytes", {
      minimum: 1024,
      maximum: maximumDocumentBytes,
      isInteger: true,
      fallback: defaultDocumentBytes,
    }),
    stopLimitMilliseconds: reader.readNumber("stop_limit_ms", {
      minimum: 0,
      maximum: 600_000,
      isInteger: true,
      fallback: 5000,
    }),
    quotaTerms: readQuotaTerms(reader),
  };
}

function readAddress(reader: TomlTableReader, key: string): string {
  return formatEndpoint(readEndpoint(reader, key));
}

function formatEndpoint(endpoint: Endpoint): string {
  const host = endpoint.host.includes(":")
    ? `[${endpoint.host}]`
    : endpoint.host;
  return `${host}:${endpoint.port}`;
}

function readMembers(reader: TomlTableReader): string[] {
  const members = reader.readStrings("members", { optional: true });
  if (members.length > maximumMemberCount) {
    reader.addFinding(
      "members",
      `Expected at most ${maximumMemberCount} members`,
    );
  }
  if (new Set(members).size !== members.length) {
    reader.addFinding("members", "A member is named twice");
  }
  members.forEach((member, index) => {
    if ((parseEndpoint(member)?.port ?? 0) === 0) {
      reader.addFinding(
        `members.${index}`,
        `Expected host:port, found "${member}"`,
      );
    }
  });
  return members;
}

function reportUnauthenticatedListener(
  reader: TomlTableReader,
  listen: Endpoint,
): void {
  if (listen.host !== "" && !isLoopbackHost(listen.host)) {
    reader.addFinding(
      "listen",
      "Expected a loopback address, because token_file is not set",
    );
  }
}
