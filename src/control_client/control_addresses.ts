import type { RandomSource } from "../common/mod.ts";

/** Keeps the control addresses from the settings and those from control. */
export class ControlAddresses {
  #configured: readonly string[];
  /** Addresses that control reported. */
  #reported: readonly string[] = [];

  /** @param configured Addresses from the settings. */
  constructor(configured: readonly string[]) {
    this.#configured = configured;
  }

  /** Replaces the addresses from the settings. */
  setConfigured(addresses: readonly string[]): void {
    this.#configured = addresses;
  }

  /** Replaces the addresses that control reported. */
  setReported(addresses: readonly string[]): void {
    this.#reported = addresses;
  }

  /** Gets all addresses, those that control reported first. */
  getAll(): readonly string[] {
    return [...new Set([...this.#reported, ...this.#configured])];
  }

  /** Gets all addresses in random order. */
  getShuffled(random: RandomSource): string[] {
    return this.getAll().map((address) => ({ address, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ address }) => address);
  }
}
