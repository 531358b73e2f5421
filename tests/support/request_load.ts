/** Time between two requests of a load. */
const intervalMilliseconds = 10;

/**
 * Runs a check while requests are sent at a steady rate. The load ends with the
 * check, also when it fails: otherwise it would keep the test process alive.
 * @param send Sends one request.
 * @param check Runs under load; gets the results of the requests sent so far.
 * @returns The results of all requests.
 */
export async function runUnderLoad<Result>(
  send: () => Promise<Result>,
  check: (results: readonly Promise<Result>[]) => Promise<void>,
): Promise<Result[]> {
  const results: Promise<Result>[] = [];
  const timer = setInterval(() => results.push(send()), intervalMilliseconds);
  try {
    await check(results);
  } finally {
    clearInterval(timer);
  }
  return await Promise.all(results);
}
