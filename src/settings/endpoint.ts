import type { TomlTableReader } from "../toml/mod.ts";

/** A host and a port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link readEndpoint}. */
export interface EndpointOptions {
  /** Whether port 0 is accepted, which lets the operating system choose. */
  readonly allowsPortZero?: boolean;
}

const endpointPattern = /^(?:\[([0-9a-fA-F:.]+)\]|([^:[\]\s]+)):(\d{1,5})$/;

/**
 * Parses `host:port` or `[ipv6]:port`.
 * @param text The text.
 * @returns The endpoint, or `undefined` when the text has another format.
 */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = endpointPattern.exec(text);
  const port = Number(match?.[3]);
  if (match === null || port > 65_535) {
    return undefined;
  }
  return { host: (match[1] ?? match[2]) as string, port };
}

/**
 * Reads an endpoint from a settings file. Adds a finding when the value is not
 * a valid endpoint.
 * @param reader The table that contains the key.
 * @param key The key of the endpoint.
 * @param options Whether port 0 is accepted.
 * @returns The endpoint; its host is empty when the value cannot be parsed.
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
