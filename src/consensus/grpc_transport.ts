import { timingSafeEqual } from "node:crypto";
import {
  type ChannelOptions,
  compressionAlgorithms,
  credentials,
  Metadata,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import type { Log } from "../common/mod.ts";
import {
  ConsensusClient,
  type ConsensusServer,
  ConsensusService,
  type DeliveryAnswer,
  type Envelope as EnvelopeRecord,
} from "../protocol/generated/consensus.ts";
import { fromEnvelopeRecord, toEnvelopeRecord } from "./codec.ts";
import { getEntrySize } from "./log_entry.ts";
import type { Envelope } from "./message.ts";
import { getTransferMilliseconds } from "./transfer_time.ts";
import type {
  PeerIdentity,
  Transport,
  TransportReceiver,
} from "./transport.ts";

/** Settings of the gRPC transport. */
export interface GrpcTransportOptions {
  /** Address at which the other instances reach this one. */
  readonly address: string;
  /** Address to listen on if it differs from `address`. */
  readonly listenAddress?: string | undefined;
  /** Maps an address to the one to connect to; the same address by default. */
  readonly resolveAddress?: ((address: string) => string) | undefined;
  /** Shared secret of the instances; required to listen beyond loopback. */
  readonly token?: string | undefined;
  /** gRPC server to use, which the caller binds; one is created by default. */
  readonly server?: Server | undefined;
  readonly receiver: TransportReceiver;
  readonly log: Log;
}

const formatVersion = 1;
const callTimeoutMilliseconds = 1000;

/** Maximum number of deliveries to one instance without a response. */
const maximumInFlightDeliveries = 8;

/**
 * Time that the response to a delivery is delayed, so that it can carry the
 * messages that answer the delivery. This halves the number of calls. A disk
 * sync, which such messages wait for, usually takes less time.
 */
const maximumResponseDelayMilliseconds = 20;

/** Maximum size of a delivery, which only a single large entry may exceed. */
const maximumDeliveryBytes = 1024 * 1024;

/** Size above which a delivery is the only one with entries in flight. */
const largeDeliveryBytes = 64 * 1024;

/**
 * Size from which on a delivery is compressed and has a connection of its own. The
 * window of HTTP/2 limits a connection to 64 KiB for each round trip.
 */
const bulkDeliveryBytes = 512 * 1024;

/** Bounds the memory for messages to an instance that does not respond. */
const maximumQueueBytes = 16 * 1024 * 1024;
const maximumQueuedSignals = 1024;

const channelOptions: ChannelOptions = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
  // Keepalive closes a connection on which packets are lost. Otherwise the
  // first message after a network partition would wait for the TCP backoff.
  "grpc.keepalive_time_ms": 1000,
  "grpc.keepalive_timeout_ms": 1000,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.max_receive_message_length": 64 * 1024 * 1024,
  "grpc.max_send_message_length": 64 * 1024 * 1024,
};

const bulkChannelOptions: ChannelOptions = {
  ...channelOptions,
  "grpc.default_compression_algorithm": compressionAlgorithms.gzip,
  "grpc.keepalive_permit_without_calls": 0,
};

/**
 * Creates a transport over gRPC. Adds its service to the given server, or
 * listens with a server of its own.
 * @param options Address, token, server and receiver.
 * @returns The transport.
 */
export async function createGrpcTransport(
  options: GrpcTransportOptions,
): Promise<Transport> {
  const delayedResponses = new DelayedResponses();
  const service = createService(options, delayedResponses);
  let ownServer: Server | undefined;
  if (options.server !== undefined) {
    options.server.addService(ConsensusService, service);
  } else {
    ownServer = new Server(channelOptions);
    ownServer.addService(ConsensusService, service);
    await listen(ownServer, options);
  }
  const peers = new Map<string, PeerSender>();
  const getPeer = (address: string) => {
    let peer = peers.get(address);
    if (peer === undefined) {
      peer = new PeerSender(address, options);
      peers.set(address, peer);
    }
    return peer;
  };
  return {
    send: (envelopes) => {
      const updatedPeers = new Set<PeerSender>();
      for (const envelope of envelopes) {
        if (delayedResponses.tryAddEnvelope(envelope)) {
          continue;
        }
        const peer = getPeer(envelope.toAddress);
        peer.enqueue(envelope);
        updatedPeers.add(peer);
      }
      delayedResponses.sendReady();
      for (const peer of updatedPeers) {
        peer.flush();
      }
    },
    identify: (address) => getPeer(address).identify(),
    stop: () => {
      delayedResponses.sendReady();
      for (const peer of peers.values()) {
        peer.close();
      }
      ownServer?.forceShutdown();
      return Promise.resolve();
    },
  };
}

/** Reports whether an address is on the loopback interface. */
export function isLoopback(address: string): boolean {
  return /^(127\.\d+\.\d+\.\d+|localhost|\[::1\]):\d+$/.test(address);
}

function listen(server: Server, options: GrpcTransportOptions): Promise<void> {
  const { token, listenAddress: address = options.address } = options;
  if (token === undefined && !isLoopback(address)) {
    return Promise.reject(
      new Error(`Listening on ${address} beyond loopback needs a token`),
    );
  }
  return new Promise((resolve, reject) => {
    server.bindAsync(
      address,
      ServerCredentials.createInsecure(),
      (error) => error === null ? resolve() : reject(error),
    );
  });
}

function createService(
  options: GrpcTransportOptions,
  delayedResponses: DelayedResponses,
): ConsensusServer {
  const { receiver } = options;
  const expected = options.token && Buffer.from(`Bearer ${options.token}`);
  const checkCall = (
    call: ServerUnaryCall<{ formatVersion: number }, unknown>,
  ): Partial<ServiceError> | undefined => {
    const given = Buffer.from(
      String(call.metadata.get("authorization")[0] ?? ""),
    );
    if (
      expected &&
      (given.length !== expected.length || !timingSafeEqual(given, expected))
    ) {
      return { code: status.UNAUTHENTICATED, details: "wrong token" };
    }
    if (call.request.formatVersion !== formatVersion) {
      return {
        code: status.FAILED_PRECONDITION,
        details:
          `format version ${call.request.formatVersion} is not supported`,
      };
    }
    return undefined;
  };
  return {
    deliver: (call, respond) => {
      const refusal = checkCall(call);
      if (refusal !== undefined) {
        respond(refusal);
        return;
      }
      let envelopes: Envelope[];
      try {
        envelopes = readEnvelopes(call.request.envelopes, options);
      } catch (error) {
        respond({
          code: status.INVALID_ARGUMENT,
          details: (error as Error).message,
        });
        return;
      }
      const request = envelopes.find(expectsResponse);
      if (request === undefined) {
        respond(null, { formatVersion, envelopes: [] });
      } else {
        delayedResponses.delay(request.fromAddress, respond);
      }
      envelopes.forEach((envelope) => receiver.receive(envelope));
    },
    identify: (call, respond) => {
      const refusal = checkCall(call);
      if (refusal !== undefined) {
        respond(refusal);
        return;
      }
      respond(null, { formatVersion, ...receiver.getIdentity() });
    },
  };
}

function readEnvelopes(
  records: readonly EnvelopeRecord[],
  options: GrpcTransportOptions,
): Envelope[] {
  return records.map((record) => fromEnvelopeRecord(record, options.address))
    .filter((envelope) => envelope !== undefined);
}

/** Reports whether a message expects a response. */
function expectsResponse({ message }: Envelope): boolean {
  switch (message.kind) {
    case "hello":
    case "confirmRequest":
    case "preVoteRequest":
    case "voteRequest":
    case "append":
    case "snapshotChunk":
    case "readRequest":
      return true;
    default:
      return false;
  }
}

/** Delays the responses to deliveries until they can carry messages back. */
class DelayedResponses {
  readonly #pendingCalls = new Map<
    string,
    { responders: sendUnaryData<DeliveryAnswer>[]; envelopes: Envelope[] }
  >();
  #timer: NodeJS.Timeout | undefined;

  /** Delays the response to a delivery that came from an address. */
  delay(address: string, respond: sendUnaryData<DeliveryAnswer>): void {
    const pending = this.#pendingCalls.get(address);
    if (pending === undefined) {
      this.#pendingCalls.set(address, { responders: [respond], envelopes: [] });
    } else {
      pending.responders.push(respond);
    }
    this.#timer ??= setTimeout(
      () => this.#respondToAll(),
      maximumResponseDelayMilliseconds,
    );
  }

  /** Adds a message to a delayed response; false if there is none. */
  tryAddEnvelope(envelope: Envelope): boolean {
    const pending = this.#pendingCalls.get(envelope.toAddress);
    pending?.envelopes.push(envelope);
    return pending !== undefined;
  }

  /** Sends the delayed responses that carry messages. */
  sendReady(): void {
    for (const [address, pending] of this.#pendingCalls) {
      if (pending.envelopes.length > 0) {
        this.#respond(address);
      }
    }
  }

  #respondToAll(): void {
    this.#timer = undefined;
    for (const address of this.#pendingCalls.keys()) {
      this.#respond(address);
    }
  }

  /**
   * Responds to all deliveries from an address. The first response carries all
   * messages, because one disk sync often completes several deliveries.
   */
  #respond(address: string): void {
    const pending = this.#pendingCalls.get(address);
    this.#pendingCalls.delete(address);
    let envelopes = pending?.envelopes.map(toEnvelopeRecord) ?? [];
    for (const respond of pending?.responders ?? []) {
      respond(null, { formatVersion, envelopes });
      envelopes = [];
    }
  }
}

/** A message with the approximate size of its entries or part of a snapshot. */
interface QueuedEnvelope {
  readonly envelope: Envelope;
  readonly bytes: number;
}

/** Sends messages to one address, and batches queued ones in a delivery. */
class PeerSender {
  readonly #client: ConsensusClient;
  #bulkClient: ConsensusClient | undefined;
  readonly #metadata = new Metadata();
  readonly #address: string;
  readonly #options: GrpcTransportOptions;
  /** Messages without entries or a part of a snapshot. */
  readonly #signals: QueuedEnvelope[] = [];
  /** Messages with entries or a part of a snapshot. */
  #payloads: QueuedEnvelope[] = [];
  #payloadBytes = 0;
  #inFlight = 0;
  #isLargeDeliveryInFlight = false;
  #isReachable = true;
  #isClosed = false;

  constructor(address: string, options: GrpcTransportOptions) {
    this.#address = address;
    this.#options = options;
    this.#client = this.#createClient(channelOptions);
    if (options.token !== undefined) {
      this.#metadata.set("authorization", `Bearer ${options.token}`);
    }
  }

  enqueue(envelope: Envelope): void {
    const bytes = getPayloadSize(envelope);
    if (bytes === 0) {
      this.#signals.push({ envelope, bytes });
      if (this.#signals.length > maximumQueuedSignals) {
        // The protocol repeats lost messages, so the oldest one can be dropped.
        this.#signals.shift();
      }
      return;
    }
    if (this.#payloadBytes + bytes > maximumQueueBytes) {
      this.#failPayloads();
    }
    this.#payloads.push({ envelope, bytes });
    this.#payloadBytes += bytes;
  }

  flush(): void {
    while (this.#inFlight < maximumInFlightDeliveries && !this.#isClosed) {
      const batch = this.#takeBatch();
      if (batch.length === 0) {
        return;
      }
      this.#deliver(batch);
    }
  }

  identify(): Promise<PeerIdentity | undefined> {
    // The channel to an instance that has just started may still be in its
    // reconnect backoff, in which a call without this option fails at once.
    const metadata = this.#metadata.clone();
    metadata.setOptions({ waitForReady: true });
    return new Promise((resolve) => {
      this.#client.identify(
        { formatVersion },
        metadata,
        { deadline: Date.now() + callTimeoutMilliseconds },
        (error, answer) => resolve(error === null ? answer : undefined),
      );
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#client.close();
    this.#bulkClient?.close();
  }

  #createClient(channel: ChannelOptions): ConsensusClient {
    return new ConsensusClient(
      this.#options.resolveAddress?.(this.#address) ?? this.#address,
      credentials.createInsecure(),
      channel,
    );
  }

  #getClient(deliveryBytes: number): ConsensusClient {
    if (deliveryBytes < bulkDeliveryBytes) {
      return this.#client;
    }
    this.#bulkClient ??= this.#createClient(bulkChannelOptions);
    return this.#bulkClient;
  }

  #takeBatch(): QueuedEnvelope[] {
    // Payloads behind a large delivery would overtake it, and would share the
    // throughput of the connection with it.
    const payloads = this.#isLargeDeliveryInFlight ? [] : this.#takePayloads();
    return getTotalBytes(payloads) > largeDeliveryBytes
      ? payloads
      : [...this.#signals.splice(0), ...payloads];
  }

  #takePayloads(): QueuedEnvelope[] {
    let count = 0;
    let total = 0;
    for (const { bytes } of this.#payloads) {
      if (count > 0 && total + bytes > maximumDeliveryBytes) {
        break;
      }
      count++;
      total += bytes;
    }
    this.#payloadBytes -= total;
    return this.#payloads.splice(0, count);
  }

  #deliver(batch: readonly QueuedEnvelope[]): void {
    const bytes = getTotalBytes(batch);
    const isLarge = bytes > largeDeliveryBytes;
    this.#inFlight++;
    this.#isLargeDeliveryInFlight ||= isLarge;
    this.#getClient(bytes).deliver(
      {
        formatVersion,
        envelopes: batch.map(({ envelope }) => toEnvelopeRecord(envelope)),
      },
      this.#metadata,
      {
        deadline: Date.now() + callTimeoutMilliseconds +
          getTransferMilliseconds(bytes),
      },
      (error, answer) => {
        this.#inFlight--;
        if (isLarge) {
          this.#isLargeDeliveryInFlight = false;
        }
        this.#logReachabilityChange(error);
        if (error !== null) {
          this.#onFailed(batch);
        } else if (!this.#isClosed) {
          readEnvelopes(answer.envelopes, this.#options).forEach((envelope) =>
            this.#options.receiver.receive(envelope)
          );
        }
        this.flush();
      },
    );
  }

  /** Reports lost payloads. Those behind them would not be accepted either. */
  #onFailed(batch: readonly QueuedEnvelope[]): void {
    const payloads = batch.filter(({ bytes }) => bytes > 0);
    if (payloads.length > 0) {
      payloads.forEach((each) =>
        this.#options.receiver.onDeliveryFailed(each.envelope)
      );
      this.#failPayloads();
    }
  }

  #failPayloads(): void {
    const failed = this.#payloads;
    this.#payloads = [];
    this.#payloadBytes = 0;
    failed.forEach(({ envelope }) =>
      this.#options.receiver.onDeliveryFailed(envelope)
    );
  }

  #logReachabilityChange(error: ServiceError | null): void {
    const isReachable = error === null;
    if (isReachable !== this.#isReachable && !this.#isClosed) {
      this.#isReachable = isReachable;
      if (error === null) {
        this.#options.log.info("instance reachable", {
          address: this.#address,
        });
      } else {
        this.#options.log.warn("instance unreachable", {
          address: this.#address,
          reason: `${status[error.code]}: ${error.details}`,
        });
      }
    }
  }
}

/** Gets the approximate size of the entries or the part of a snapshot. */
function getPayloadSize({ message }: Envelope): number {
  switch (message.kind) {
    case "append":
      return message.entries.reduce(
        (bytes, entry) => bytes + getEntrySize(entry),
        0,
      );
    case "snapshotChunk":
      return message.data.length;
    default:
      return 0;
  }
}

function getTotalBytes(batch: readonly QueuedEnvelope[]): number {
  return batch.reduce((total, { bytes }) => total + bytes, 0);
}
