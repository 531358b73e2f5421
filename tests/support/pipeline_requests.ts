import { connect } from "node:net";

/** Lines of a request after its request line, without a body. */
export interface PipelinedRequest {
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Sends requests with GET in one piece on one connection.
 * @param port Loopback port.
 * @param requests The requests.
 * @returns The statuses of the responses until all requests have one or the
 * connection ends.
 */
export function pipelineRequests(
  port: number,
  requests: readonly PipelinedRequest[],
): Promise<number[]> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    const getStatuses = () =>
      [...received.matchAll(/HTTP\/1\.1 (\d+) /g)]
        .map(([, status]) => Number(status));
    socket.on("data", (chunk) => {
      received += chunk;
      if (getStatuses().length === requests.length) {
        socket.destroy();
      }
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(getStatuses()));
    socket.write(requests.map(formatRequest).join(""));
  });
}

function formatRequest({ path, headers = {} }: PipelinedRequest): string {
  const lines = Object.entries({ Host: "a", ...headers })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
}
