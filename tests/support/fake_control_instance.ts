import { Server, ServerCredentials, type ServerOptions } from "@grpc/grpc-js";
import { createLog, systemClock } from "../../src/common/mod.ts";
import type { CrashReport } from "../../src/protocol/generated/session.ts";
import {
  type AcceptedDocument,
  type Availability,
  type ControlState,
  type PeerInstance,
  SessionHost,
  type SessionHostOptions,
} from "../../src/session_server/mod.ts";

/**
 * A control instance whose state a test or measurement sets directly, without
 * a replicated log. Its session server is the real one.
 */
export class FakeControlInstance {
  readonly sessionHost: SessionHost;
  readonly server: Server;
  readonly documents = new Map<string, AcceptedDocument>();
  readonly crashReports: CrashReport[] = [];
  readonly clearedSuspects: string[] = [];
  readonly #hostOptions: SessionHostOptions;
  availability: Availability = "available";
  isDocumentReadable = true;
  peers: readonly PeerInstance[] = [];
  quarantined: readonly string[] = [];
  suspects: readonly string[] = [];
  ledgerIndex = 0;
  port = 0;

  constructor(
    options: Partial<SessionHostOptions> & { instanceId: string },
    serverOptions: ServerOptions = {},
  ) {
    const state: ControlState = {
      getAcceptedDocument: (environment) => this.documents.get(environment),
      isDocumentReadable: () => this.isDocumentReadable,
      getAvailability: () => this.availability,
      getQuarantined: () => this.quarantined,
      getSuspects: () => this.suspects,
      getLedgerIndex: () => this.ledgerIndex,
      getPeers: () => this.peers,
      onCrashReport: (_environment, report) => this.crashReports.push(report),
      onSuspectCleared: (_environment, each) => this.clearedSuspects.push(each),
    };
    this.#hostOptions = {
      boot: Date.now(),
      clock: systemClock,
      log: createLog({ write: () => {} }),
      state,
      ...options,
    };
    this.sessionHost = new SessionHost(this.#hostOptions);
    this.server = new Server(serverOptions);
    this.sessionHost.addServices(this.server);
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  get peer(): PeerInstance {
    return { instanceId: this.#hostOptions.instanceId, address: this.address };
  }

  /** Listens on a loopback port; 0 for a free one. */
  listen(port = 0): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(
        `127.0.0.1:${port}`,
        ServerCredentials.createInsecure(),
        (error, bound) => {
          this.port = bound;
          error === null ? resolve() : reject(error);
        },
      );
    });
  }

  acceptDocument(environment: string, document: AcceptedDocument): void {
    this.documents.set(environment, document);
    this.sessionHost.onDocumentAccepted(environment);
  }

  setAvailability(availability: Availability): void {
    this.availability = availability;
    this.sessionHost.onAvailabilityChanged();
  }

  /** Stops immediately and closes all connections, as a crash would. */
  kill(): void {
    this.sessionHost.stop();
    this.server.forceShutdown();
  }
}

/**
 * Starts fake control instances that have each other as peers.
 * @param count Number of instances.
 * @param options Settings of their session hosts.
 */
export async function startFakeControlInstances(
  count: number,
  options: Partial<SessionHostOptions> = {},
): Promise<FakeControlInstance[]> {
  const instances = Array.from(
    { length: count },
    (_, index) =>
      new FakeControlInstance({ ...options, instanceId: `control-${index}` }),
  );
  await Promise.all(instances.map((instance) => instance.listen()));
  for (const instance of instances) {
    instance.peers = instances.filter((each) => each !== instance)
      .map((each) => each.peer);
  }
  return instances;
}
