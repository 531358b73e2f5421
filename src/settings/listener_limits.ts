import type { TomlTableReader } from "../toml/mod.ts";

/** Limits of what all connections of one listener hold. */
export interface ListenerLimits {
  /** Connections that are open at once. */
  readonly connections: number;
  /** Header fields of a request. */
  readonly headFields: number;
  /** Bytes of incomplete heads, over all connections. */
  readonly headMemoryBytes: number;
}

/**
 * Limits that clients do not reach which keep to the limits of their requests:
 * several hundred connections with incomplete heads of 16 KiB each, or 256 with
 * 64 KiB, and heads of 1500 fields.
 */
export const defaultListenerLimits: ListenerLimits = {
  connections: 1024,
  headFields: 2000,
  headMemoryBytes: 16 * 1024 * 1024,
};

/**
 * Reads the optional table `listener_limits`.
 * @param reader Reader of the whole file.
 * @returns The limits, with defaults for those that are absent.
 */
export function readListenerLimits(parent: TomlTableReader): ListenerLimits {
  const reader = parent.readTable("listener_limits");
  if (reader === undefined) {
    return defaultListenerLimits;
  }
  const read = (key: string, fallback: number, maximum: number) =>
    reader.readNumber(key, { minimum: 1, maximum, isInteger: true, fallback });
  const { connections, headFields, headMemoryBytes } = defaultListenerLimits;
  const limits: ListenerLimits = {
    connections: read("connections", connections, 100_000),
    headFields: read("head_fields", headFields, 100_000),
    headMemoryBytes: read("head_memory_bytes", headMemoryBytes, 2 ** 32),
  };
  reader.reportUnknownKeys();
  return limits;
}
