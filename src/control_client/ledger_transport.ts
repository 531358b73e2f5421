import {
  credentials,
  type Interceptor,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { formatVersion } from "../protocol/format_version.ts";
import {
  type LedgerBatch,
  type LedgerBatchAnswer,
  LedgerClient,
} from "../protocol/generated/ledger.ts";

/** What became of a batch. */
export type BatchOutcome =
  | { readonly kind: "answer"; readonly answer: LedgerBatchAnswer }
  /** No instance carried it out. */
  | { readonly kind: "refused" }
  /** An instance may have carried it out. */
  | { readonly kind: "lost" };

/** Settings of a transport. */
export interface LedgerTransportOptions {
  getAddresses(): readonly string[];
  readonly interceptors: readonly Interceptor[];
  readonly callMilliseconds: number;
}

// Refusals that tell that nothing of the batch was proposed. Any other one is
// taken as an unknown outcome.
const cleanRefusals: ReadonlySet<string> = new Set([
  "not-leader",
  "isolated",
  "stopping",
  "unsupported-format",
  "invalid-request",
]);

/** Brings batches to the ledger through the best control instance. */
export class LedgerTransport {
  readonly #options: LedgerTransportOptions;
  #connection: { address: string; client: LedgerClient } | undefined;
  #failedAddress: string | undefined;

  constructor(options: LedgerTransportOptions) {
    this.#options = options;
  }

  /**
   * Submits a batch. Tries another instance only after a refusal, because a
   * claim that was sent must not be sent again.
   * @param batch The batch.
   */
  async submit(
    batch: Omit<LedgerBatch, "formatVersion">,
  ): Promise<BatchOutcome> {
    const endsAt = Date.now() + this.#options.callMilliseconds;
    const tried = new Set<string>();
    let hinted: readonly string[] = [];
    while (true) {
      const address = this.#chooseAddress(hinted, tried);
      if (address === undefined || Date.now() >= endsAt) {
        return { kind: "refused" };
      }
      tried.add(address);
      const answer = await this.#call(
        address,
        { ...batch, formatVersion },
        endsAt,
      );
      if (answer === "lost") {
        this.#failedAddress = address;
        this.#drop(address);
        return { kind: "lost" };
      }
      if (answer === "refused") {
        this.#failedAddress = address;
        continue;
      }
      if (answer.formatVersion !== formatVersion) {
        return { kind: "lost" };
      }
      if (answer.refusal === undefined) {
        this.#failedAddress = undefined;
        return { kind: "answer", answer };
      }
      if (!cleanRefusals.has(answer.refusal.reason)) {
        return { kind: "lost" };
      }
      this.#failedAddress = address;
      hinted = answer.refusal.controlAddresses;
    }
  }

  close(): void {
    this.#connection?.client.close();
    this.#connection = undefined;
  }

  /** Chooses an address: hinted ones, then those that did not fail last. */
  #chooseAddress(
    hinted: readonly string[],
    tried: ReadonlySet<string>,
  ): string | undefined {
    const known = this.#options.getAddresses();
    const candidates = [
      ...hinted.filter((address) => known.includes(address)),
      ...known.filter((address) => address !== this.#failedAddress),
      ...known,
    ];
    return candidates.find((address) => !tried.has(address));
  }

  #call(
    address: string,
    batch: LedgerBatch,
    endsAt: number,
  ): Promise<LedgerBatchAnswer | "lost" | "refused"> {
    const client = this.#getClient(address);
    return new Promise((resolve) => {
      client.submit(
        batch,
        new Metadata(),
        { deadline: endsAt },
        (error: ServiceError | null, answer) => {
          if (error === null) {
            resolve(answer);
          } else {
            // These two are given before a request is read.
            resolve(
              error.code === status.UNAUTHENTICATED ||
                error.code === status.FAILED_PRECONDITION
                ? "refused"
                : "lost",
            );
          }
        },
      );
    });
  }

  #getClient(address: string): LedgerClient {
    if (this.#connection?.address !== address) {
      this.close();
      this.#connection = {
        address,
        client: new LedgerClient(address, credentials.createInsecure(), {
          "grpc.use_local_subchannel_pool": 1,
          // A repeated claim would be answered as claimed by another attempt.
          "grpc.enable_retries": 0,
          interceptors: [...this.#options.interceptors],
        }),
      };
    }
    return this.#connection.client;
  }

  #drop(address: string): void {
    if (this.#connection?.address === address) {
      this.close();
    }
  }
}
