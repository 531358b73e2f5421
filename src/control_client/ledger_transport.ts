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

/** Outcome of submitting a batch. */
export type BatchOutcome =
  | { readonly kind: "answer"; readonly answer: LedgerBatchAnswer }
  /** No instance executed it. */
  | { readonly kind: "refused" }
  /** It is not known whether an instance executed it. */
  | { readonly kind: "lost" };

/** Settings of a transport. */
export interface LedgerTransportOptions {
  getAddresses(): readonly string[];
  readonly interceptors: readonly Interceptor[];
  readonly callTimeoutMilliseconds: number;
}

// Reasons of refusals after which no operation of the batch was proposed to the
// consensus group. Any other reason is treated as an unknown outcome.
const unexecutedRefusalReasons: ReadonlySet<string> = new Set([
  "not-leader",
  "isolated",
  "stopping",
  "unsupported-format",
  "invalid-request",
]);

/**
 * Submits batches of operations to the ledger, through the control instance that
 * is most likely to accept them.
 */
export class LedgerTransport {
  readonly #options: LedgerTransportOptions;
  #connection: { address: string; client: LedgerClient } | undefined;
  #lastFailedAddress: string | undefined;

  constructor(options: LedgerTransportOptions) {
    this.#options = options;
  }

  /**
   * Submits a batch. Tries another instance only after a refusal, because a
   * batch that may have been executed must not be sent again.
   * @param batch The batch.
   */
  async submit(
    batch: Omit<LedgerBatch, "formatVersion">,
  ): Promise<BatchOutcome> {
    const deadline = Date.now() + this.#options.callTimeoutMilliseconds;
    const triedAddresses = new Set<string>();
    let suggestedAddresses: readonly string[] = [];
    while (true) {
      const address = this.#chooseAddress(suggestedAddresses, triedAddresses);
      if (address === undefined || Date.now() >= deadline) {
        return { kind: "refused" };
      }
      triedAddresses.add(address);
      const answer = await this.#call(
        address,
        { ...batch, formatVersion },
        deadline,
      );
      if (answer === "lost") {
        this.#lastFailedAddress = address;
        this.#closeConnection(address);
        return { kind: "lost" };
      }
      if (answer === "refused") {
        this.#lastFailedAddress = address;
        continue;
      }
      if (answer.formatVersion !== formatVersion) {
        return { kind: "lost" };
      }
      if (answer.refusal === undefined) {
        this.#lastFailedAddress = undefined;
        return { kind: "answer", answer };
      }
      if (!unexecutedRefusalReasons.has(answer.refusal.reason)) {
        return { kind: "lost" };
      }
      this.#lastFailedAddress = address;
      suggestedAddresses = answer.refusal.controlAddresses;
    }
  }

  close(): void {
    this.#connection?.client.close();
    this.#connection = undefined;
  }

  /**
   * Chooses an address that was not tried: first one that a refusal suggested,
   * then any other than the one that failed last, and then that one.
   */
  #chooseAddress(
    suggestedAddresses: readonly string[],
    triedAddresses: ReadonlySet<string>,
  ): string | undefined {
    const known = this.#options.getAddresses();
    const candidates = [
      ...suggestedAddresses.filter((address) => known.includes(address)),
      ...known.filter((address) => address !== this.#lastFailedAddress),
      ...known,
    ];
    return candidates.find((address) => !triedAddresses.has(address));
  }

  #call(
    address: string,
    batch: LedgerBatch,
    deadline: number,
  ): Promise<LedgerBatchAnswer | "lost" | "refused"> {
    const client = this.#getClient(address);
    return new Promise((resolve) => {
      client.submit(
        batch,
        new Metadata(),
        { deadline },
        (error: ServiceError | null, answer) => {
          if (error === null) {
            resolve(answer);
          } else {
            // The server returns these two codes before it reads a request.
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
          // The ledger would deny a claim that gRPC sends again, because the
          // first send claimed the key already.
          "grpc.enable_retries": 0,
          interceptors: [...this.#options.interceptors],
        }),
      };
    }
    return this.#connection.client;
  }

  #closeConnection(address: string): void {
    if (this.#connection?.address === address) {
      this.close();
    }
  }
}
