/**
 * Waits until a condition holds. The default timeout is long, so that tests do
 * not fail on a busy machine.
 * @param condition The condition, checked every 10 ms.
 * @param description What is awaited, for the error message.
 * @param timeoutMilliseconds Time after which the wait fails.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
  timeoutMilliseconds = 30_000,
): Promise<void> {
  const end = performance.now() + timeoutMilliseconds;
  while (!(await condition())) {
    if (performance.now() > end) {
      throw new Error(
        `Condition not met within ${timeoutMilliseconds} ms: ${description}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
