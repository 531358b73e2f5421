import type { OriginCall } from "./origin_call.ts";

/** Calls with a key that are under way at this node, so that resends join. */
export class KeyedCalls {
  readonly #calls = new Map<string, OriginCall>();

  /** Gets the call that a resend joins. */
  get(service: string, key: string): OriginCall | undefined {
    return this.#calls.get(getMapKey(service, key));
  }

  /** Adds a call. */
  add(service: string, key: string, call: OriginCall): void {
    this.#calls.set(getMapKey(service, key), call);
  }

  /** Removes a call when it is the one that was added. */
  remove(service: string, key: string, call: OriginCall): void {
    const mapKey = getMapKey(service, key);
    if (this.#calls.get(mapKey) === call) {
      this.#calls.delete(mapKey);
    }
  }
}

/** Names of services have no spaces. */
function getMapKey(service: string, key: string): string {
  return `${service} ${key}`;
}
