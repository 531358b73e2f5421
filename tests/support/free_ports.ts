import { createServer, type Server } from "node:net";

/**
 * All ports are below the system's range of ephemeral ports: an outgoing
 * connection can take a free port of that range before a process binds it.
 */
const lowestPort = 15_000;
const portsPerRange = 100;
const portRanges = 170;

/** Ports of the ranges that this process has claimed. */
const ownPorts: number[] = [];
let nextIndex = 0;

/**
 * Gets loopback ports that are free. Each process claims ranges of its own, so
 * that no other test or soak gets a port that is free but about to be bound.
 * @param count Number of ports.
 * @returns The ports.
 * @throws If no range is left.
 */
export async function getFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  let attempts = 0;
  while (ports.length < count) {
    if (attempts++ >= ownPorts.length) {
      ownPorts.push(...await claimRangeOrThrow());
      attempts = 0;
    }
    const port = ownPorts[nextIndex++ % ownPorts.length] as number;
    if (!ports.includes(port) && await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

/**
 * Claims a range by listening on its first port until the process ends.
 * @returns The other ports of the range.
 */
async function claimRangeOrThrow(): Promise<number[]> {
  for (let index = 0; index < portRanges; index++) {
    const range = (process.pid + index) % portRanges;
    const firstPort = lowestPort + range * portsPerRange;
    const server = await listen(firstPort);
    if (server !== undefined) {
      server.unref();
      return Array.from(
        { length: portsPerRange - 1 },
        (_, offset) => firstPort + 1 + offset,
      );
    }
  }
  throw new Error(`All ${portRanges} ranges of ports are in use`);
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) {
    return false;
  }
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Listens on a port; `undefined` if it is in use. */
function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
