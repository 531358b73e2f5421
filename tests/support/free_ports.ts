import { createServer } from "node:net";

/**
 * Ports below the range from which the system takes ports of outgoing
 * connections: a free port of that range can be gone before a process binds it.
 */
const firstPort = 15_000;
const portsPerProcess = 100;
const processes = 170;

let used = 0;

/**
 * Gets loopback ports that are free. Test processes that run at the same time
 * look in parts of the range that differ with the process id.
 * @param count How many.
 * @returns The ports.
 */
export async function getFreePorts(count: number): Promise<number[]> {
  const start = firstPort + (process.pid % processes) * portsPerProcess;
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried++) {
    if (tried > 2 * portsPerProcess) {
      throw new Error(`Found ${ports.length} free ports of ${count}`);
    }
    const port = start + used++ % portsPerProcess;
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
