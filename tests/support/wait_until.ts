/**
 * Waits until a condition holds. The bound is generous, so that a busy machine
 * does not fail a test.
 * @param condition The condition.
 * @param what What is waited for, for the error message.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
  limitMilliseconds = 30_000,
): Promise<void> {
  const end = performance.now() + limitMilliseconds;
  while (!(await condition())) {
    if (performance.now() > end) {
      throw new Error(`Waited ${limitMilliseconds} ms in vain until ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
