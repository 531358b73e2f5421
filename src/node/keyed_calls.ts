import type { OriginCall } from "./origin_call.ts";

/**
 * Keeps the calls with a key that are in flight at this node, so that a resend
 * joins the earlier call.
 */
export class KeyedCalls {
  readonly #calls = new Map<string, OriginCall>();

  /** Gets the call in flight with a key. */
  get(service: string, key: string): OriginCall | undefined {
    return this.#calls.get(getMapKey(service, key));
  }

  /** Adds a call. */
  add(service: string, key: string, call: OriginCall): void {
    this.#calls.set(getMapKey(service, key), call);
  }

  /** Removes a call, unless another call with the key was added since. */
  remove(service: string, key: string, call: OriginCall): void {
    const mapKey = getMapKey(service, key);
    if (this.#calls.get(mapKey) === call) {
      this.#calls.delete(mapKey);
    }
  }
}

/** Gets a map key, which is unique because service names contain no spaces. */
function getMapKey(service: string, key: string): string {
  return `${service} ${key}`;
}
