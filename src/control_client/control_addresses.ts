import type { RandomSource } from "../common/mod.ts";

/** Keeps the addresses of control instances from the settings and from control. */
export class ControlAddresses {
  #configured: readonly string[];
  /** Addresses that control told. */
  #told: readonly string[] = [];

  /** @param configured Addresses of the settings. */
  constructor(configured: readonly string[]) {
    this.#configured = configured;
  }

  /** Replaces the addresses of the settings. */
  setConfigured(addresses: readonly string[]): void {
    this.#configured = addresses;
  }

  /** Replaces the addresses that control told. */
  setTold(addresses: readonly string[]): void {
    this.#told = addresses;
  }

  /** Gets all addresses, those that control told first. */
  getAll(): readonly string[] {
    return [...new Set([...this.#told, ...this.#configured])];
  }

  /** Gets all addresses in random order. */
  getShuffled(random: RandomSource): string[] {
    return this.getAll().map((address) => ({ address, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ address }) => address);
  }
}
