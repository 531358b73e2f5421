import {
  Entry as EntryRecord,
  Envelope as EnvelopeRecord,
  HardStateRecord,
  IdentityRecord,
  LogRecord,
  type PeerRecord,
  SnapshotInfo as SnapshotInfoRecord,
} from "../protocol/generated/consensus.ts";
import type { EntryContent, LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { ConsensusMessage, Envelope, Verdict } from "./message.ts";
import type { PeerState } from "./peer_state.ts";
import type { HardState, Identity } from "./persisted_state.ts";

/** Encodes the content of the file `identity`. */
export function encodeIdentity(identity: Identity): Uint8Array {
  return IdentityRecord.encode(identity).finish();
}

/** Decodes the content of the file `identity`. */
export function decodeIdentity(bytes: Uint8Array): Identity {
  return IdentityRecord.decode(bytes);
}

/** Encodes the content of the file `hard_state`. */
export function encodeHardState(state: HardState): Uint8Array {
  return HardStateRecord.encode(state).finish();
}

/** Decodes the content of the file `hard_state`. */
export function decodeHardState(bytes: Uint8Array): HardState {
  return HardStateRecord.decode(bytes);
}

/** Encodes the description of a snapshot. */
export function encodeSnapshotInfo(info: SnapshotInfo): Uint8Array {
  return SnapshotInfoRecord.encode({ ...info, members: [...info.members] })
    .finish();
}

/** Decodes the description of a snapshot. */
export function decodeSnapshotInfo(bytes: Uint8Array): SnapshotInfo {
  return SnapshotInfoRecord.decode(bytes);
}

/** Encodes one record of the file `log`. */
export function encodeLogRecord(
  entries: readonly LogEntry[],
  peers: ReadonlyMap<string, PeerState> | undefined,
): Uint8Array {
  const records: PeerRecord[] = [];
  for (const [id, state] of peers ?? []) {
    records.push({ id, ...state });
  }
  return LogRecord.encode({
    entries: entries.map(toEntryRecord),
    peers: records,
  }).finish();
}

/** Decodes one record of the file `log`. */
export function decodeLogRecord(
  bytes: Uint8Array,
): { entries: LogEntry[]; peers: ReadonlyMap<string, PeerState> } {
  const record = LogRecord.decode(bytes);
  return {
    entries: record.entries.map(fromEntryRecord),
    peers: new Map(record.peers.map(({ id, ...state }) => [id, state])),
  };
}

/** Converts an envelope to its Protocol Buffers message. */
export function toEnvelopeRecord(envelope: Envelope): EnvelopeRecord {
  return {
    groupId: envelope.groupId,
    fromId: envelope.fromId,
    fromAddress: envelope.fromAddress,
    fromBootId: envelope.fromBootId,
    toId: envelope.toId,
    term: envelope.term,
    message: toMessageRecord(envelope.message),
  };
}

/**
 * Converts an envelope from its Protocol Buffers message.
 * @param record The decoded message.
 * @param toAddress Address of this instance.
 * @returns `undefined` when the kind of the message is unknown.
 */
export function fromEnvelopeRecord(
  record: EnvelopeRecord,
  toAddress: string,
): Envelope | undefined {
  const message = fromMessageRecord(record.message);
  return message === undefined ? undefined : {
    groupId: record.groupId,
    fromId: record.fromId,
    fromAddress: record.fromAddress,
    fromBootId: record.fromBootId,
    toId: record.toId,
    toAddress,
    term: record.term,
    message,
  };
}

function toEntryRecord(entry: LogEntry): EntryRecord {
  const { index, term, timeMilliseconds } = entry;
  return { index, term, timeMilliseconds, content: toContent(entry.content) };
}

function toContent(content: EntryContent): EntryRecord["content"] {
  switch (content.kind) {
    case "command":
      return { $case: "command", command: Buffer.from(content.command) };
    case "members":
      return {
        $case: "members",
        members: { members: [...content.members] },
      };
    case "empty":
      return { $case: "empty", empty: {} };
  }
}

function fromEntryRecord(record: EntryRecord): LogEntry {
  const { index, term, timeMilliseconds, content } = record;
  return { index, term, timeMilliseconds, content: fromContent(content) };
}

function fromContent(content: EntryRecord["content"]): EntryContent {
  switch (content?.$case) {
    case "command":
      return { kind: "command", command: content.command };
    case "members":
      return { kind: "members", members: content.members.members };
    case "empty":
      return { kind: "empty" };
    default:
      throw new Error(
        "Content of a log entry has a kind that this release does not support",
      );
  }
}

function toMessageRecord(
  message: ConsensusMessage,
): EnvelopeRecord["message"] {
  switch (message.kind) {
    case "hello":
      return { $case: "hello", hello: {} };
    case "helloResponse":
      return {
        $case: "helloResponse",
        helloResponse: {
          isDenied: message.isDenied,
          firstEntry: message.firstEntry === undefined
            ? undefined
            : toEntryRecord(message.firstEntry),
        },
      };
    case "confirmRequest":
      return { $case: "confirmRequest", confirmRequest: message };
    case "confirmResponse":
      return { $case: "confirmResponse", confirmResponse: message };
    case "preVoteRequest":
      return { $case: "preVoteRequest", preVoteRequest: message };
    case "preVoteResponse":
      return { $case: "preVoteResponse", preVoteResponse: message };
    case "voteRequest":
      return { $case: "voteRequest", voteRequest: message };
    case "voteResponse":
      return { $case: "voteResponse", voteResponse: message };
    case "append":
      return {
        $case: "append",
        append: {
          ...message,
          entries: message.entries.map(toEntryRecord),
          sentAfter: message.sentAfter,
        },
      };
    case "appendResponse":
      return {
        $case: "appendResponse",
        appendResponse: {
          ...message,
          sentAtMilliseconds: message.sentAtMilliseconds ?? 0,
        },
      };
    case "snapshotChunk":
      return {
        $case: "snapshotChunk",
        snapshotChunk: {
          ...message,
          info: { ...message.info, members: [...message.info.members] },
          data: Buffer.from(message.data),
        },
      };
    case "snapshotResponse":
      return { $case: "snapshotResponse", snapshotResponse: message };
    case "readRequest":
      return { $case: "readRequest", readRequest: message };
    case "readResponse":
      return { $case: "readResponse", readResponse: message };
  }
}

function fromMessageRecord(
  message: EnvelopeRecord["message"],
): ConsensusMessage | undefined {
  switch (message?.$case) {
    case "hello":
      return { kind: "hello" };
    case "helloResponse": {
      const { isDenied, firstEntry } = message.helloResponse;
      return {
        kind: "helloResponse",
        isDenied,
        firstEntry: firstEntry === undefined
          ? undefined
          : fromEntryRecord(firstEntry),
      };
    }
    case "confirmRequest":
      return { kind: "confirmRequest", ...message.confirmRequest };
    case "confirmResponse": {
      const { verdict, ...rest } = message.confirmResponse;
      return isVerdict(verdict)
        ? { kind: "confirmResponse", ...rest, verdict }
        : undefined;
    }
    case "preVoteRequest":
      return { kind: "preVoteRequest", ...message.preVoteRequest };
    case "preVoteResponse":
      return { kind: "preVoteResponse", ...message.preVoteResponse };
    case "voteRequest":
      return { kind: "voteRequest", ...message.voteRequest };
    case "voteResponse":
      return { kind: "voteResponse", ...message.voteResponse };
    case "append":
      return {
        kind: "append",
        ...message.append,
        entries: message.append.entries.map(fromEntryRecord),
      };
    case "appendResponse":
      return { kind: "appendResponse", ...message.appendResponse };
    case "snapshotChunk": {
      const { info, ...rest } = message.snapshotChunk;
      return info && { kind: "snapshotChunk", ...rest, info };
    }
    case "snapshotResponse":
      return { kind: "snapshotResponse", ...message.snapshotResponse };
    case "readRequest":
      return { kind: "readRequest", ...message.readRequest };
    case "readResponse":
      return { kind: "readResponse", ...message.readResponse };
    case undefined:
      return undefined;
  }
}

function isVerdict(text: string): text is Verdict {
  return text === "confirmed" || text === "denied";
}
