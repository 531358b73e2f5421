import type { ShedSignal } from "../document/mod.ts";
import type { ResponseHead } from "./exchange.ts";

/**
 * Checks whether a response is the declared shed signal, by which a target
 * guarantees that the call had no effect.
 * @param signal The signal that the document declares; `undefined` for none.
 * @param head The response.
 */
export function isShedSignal(
  signal: ShedSignal | undefined,
  head: ResponseHead,
): boolean {
  if (signal === undefined || head.status !== signal.status) {
    return false;
  }
  if (signal.header === undefined) {
    return true;
  }
  for (let index = 0; index < head.headers.length; index += 2) {
    if (head.headers[index]?.toLowerCase() === signal.header) {
      return true;
    }
  }
  return false;
}
