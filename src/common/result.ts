/** Result of an operation whose expected failures are returned, not thrown. */
export type Result<Value, Failure> =
  | { readonly kind: "ok"; readonly value: Value }
  | { readonly kind: "error"; readonly error: Failure };

/**
 * Creates a successful result.
 * @param value The value.
 * @returns The result.
 */
export function ok<Value>(value: Value): Result<Value, never> {
  return { kind: "ok", value };
}

/**
 * Creates a failed result.
 * @param failure The failure.
 * @returns The result.
 */
export function failed<Failure>(failure: Failure): Result<never, Failure> {
  return { kind: "error", error: failure };
}
