import { createServer } from "node:net";

/**
 * All ports are below the system's range of ephemeral ports: an outgoing
 * connection can take a free port of that range before a process binds it.
 */
const lowestPort = 15_000;
const portsPerRange = 100;
const portRanges = 170;

let nextOffset = 0;

/**
 * Gets loopback ports that are free. Each test process searches the range that
 * its process id selects, so that parallel tests rarely get the same port.
 * @param count Number of ports.
 * @returns The ports.
 */
export async function getFreePorts(count: number): Promise<number[]> {
  const start = (process.pid % portRanges) * portsPerRange;
  const rangeSize = Math.max(portsPerRange, 2 * count);
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts++) {
    if (attempts > 2 * rangeSize) {
      throw new Error(`Found ${ports.length} free ports of ${count}`);
    }
    const offset = start + nextOffset++ % rangeSize;
    const port = lowestPort + offset % (portRanges * portsPerRange);
    if (!ports.includes(port) && await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
