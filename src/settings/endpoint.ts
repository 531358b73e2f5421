import type { TomlTableReader } from "../toml/mod.ts";

/** A host and a port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Variants of {@link readEndpoint}. */
export interface EndpointOptions {
  /** Whether port 0, which lets the system choose, is accepted. */
  readonly allowsPortZero?: boolean;
}

const pattern = /^(?:\[([0-9a-fA-F:.]+)\]|([^:[\]\s]+)):(\d{1,5})$/;

/**
 * Parses `host:port` or `[ipv6]:port`.
 * @param text The text.
 * @returns The endpoint, or `undefined` when the text is anything else.
 */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = pattern.exec(text);
  const port = Number(match?.[3]);
  if (match === null || port > 65_535) {
    return undefined;
  }
  return { host: (match[1] ?? match[2]) as string, port };
}

/**
 * Reads an endpoint from a settings file, and adds a finding for a fault.
 * @param reader The table.
 * @param key Its key.
 * @param options Variants.
 * @returns The endpoint; an empty host when there was a finding.
 */
export function readEndpoint(
  reader: TomlTableReader,
  key: string,
  options: EndpointOptions = {},
): Endpoint {
  const text = reader.readString(key);
  const endpoint = parseEndpoint(text);
  if (text === "") {
    return { host: "", port: 0 };
  }
  const isPortAllowed = endpoint !== undefined &&
    (endpoint.port > 0 || options.allowsPortZero === true);
  if (!isPortAllowed) {
    reader.addFinding(key, `Expected host:port, found "${text}"`);
  }
  return endpoint ?? { host: "", port: 0 };
}
