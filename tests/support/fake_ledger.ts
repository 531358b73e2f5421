import type {
  ClaimOptions,
  ClaimOutcome,
  FenceOutcome,
  LedgerAnswer,
  LedgerKey,
  LedgerPort,
} from "../../src/node/mod.ts";

interface LedgerEntry {
  readonly claimId: string;
  readonly fingerprint: string;
  state: "claimed" | "completed";
  answer: LedgerAnswer | undefined;
}

/** An in-memory ledger with the rules of the real one that nodes rely on. */
export class FakeLedger implements LedgerPort {
  knownIndex = 0;
  /**
   * Whether claims and fences get `unavailable`, as when no majority of the
   * control instances can be reached.
   */
  isUnavailable = false;
  readonly claims: ClaimOptions[] = [];
  readonly releases: string[] = [];
  /** Keys of all fence requests, including those that got `unavailable`. */
  readonly fencedKeys: string[] = [];
  readonly #entries = new Map<string, LedgerEntry>();
  readonly #fences = new Map<string, number>();
  /** Runs before each claim is decided; a test can delay claims with it. */
  beforeClaim: () => Promise<void> = () => Promise.resolve();

  async claim(options: ClaimOptions): Promise<ClaimOutcome> {
    this.claims.push(options);
    await this.beforeClaim();
    if (this.isUnavailable) {
      return { kind: "unavailable" };
    }
    this.knownIndex++;
    const mapKey = getMapKey(options);
    const entry = this.#entries.get(mapKey);
    if (entry !== undefined) {
      if (entry.fingerprint !== options.fingerprint) {
        return { kind: "denied", reason: "key-conflict" };
      }
      return entry.state === "claimed"
        ? { kind: "denied", reason: "claim-in-progress" }
        : { kind: "denied", reason: "claim-ran", answer: entry.answer };
    }
    if (options.entryIndex < (this.#fences.get(mapKey) ?? 0)) {
      return { kind: "denied", reason: "claim-superseded" };
    }
    this.#entries.set(mapKey, {
      claimId: options.claimId,
      fingerprint: options.fingerprint,
      state: "claimed",
      answer: undefined,
    });
    return { kind: "granted" };
  }

  complete(
    options: LedgerKey & { claimId: string; answer?: LedgerAnswer },
  ): Promise<void> {
    const entry = this.#entries.get(getMapKey(options));
    if (entry?.claimId === options.claimId) {
      entry.state = "completed";
      entry.answer = options.answer;
    }
    return Promise.resolve();
  }

  release(options: LedgerKey & { claimId: string }): Promise<void> {
    this.releases.push(options.claimId);
    const mapKey = getMapKey(options);
    if (this.#entries.get(mapKey)?.claimId === options.claimId) {
      this.#entries.delete(mapKey);
    }
    return Promise.resolve();
  }

  fence(options: LedgerKey): Promise<FenceOutcome> {
    this.fencedKeys.push(options.key);
    if (this.isUnavailable) {
      return Promise.resolve({ kind: "unavailable" });
    }
    const mapKey = getMapKey(options);
    const entry = this.#entries.get(mapKey);
    this.knownIndex++;
    if (entry === undefined) {
      this.#fences.set(mapKey, this.knownIndex);
      return Promise.resolve({ kind: "absent" });
    }
    return Promise.resolve(
      entry.state === "claimed"
        ? { kind: "in-progress" }
        : { kind: "ran", answer: entry.answer },
    );
  }
}

function getMapKey(key: LedgerKey): string {
  return `${key.service} ${key.key}`;
}
