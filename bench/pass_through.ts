import { Agent, createServer, request } from "node:http";

/**
 * A plain proxy without overload control, the baseline of the latency
 * measurement: `pass_through.js <target port> <listen port>`.
 */
const agent = new Agent({ keepAlive: true, maxSockets: 300 });
const port = Number(process.argv[2]);
const server = createServer((incoming, response) => {
  const outgoing = request({
    host: "127.0.0.1",
    port,
    agent,
    method: incoming.method,
    path: incoming.url,
    headers: incoming.headers,
  }, (upstreamResponse) => {
    response.writeHead(
      upstreamResponse.statusCode ?? 502,
      upstreamResponse.headers,
    );
    upstreamResponse.pipe(response);
  });
  outgoing.on("error", () => response.destroy());
  incoming.pipe(outgoing);
});
server.keepAliveTimeout = 60_000;
server.listen(Number(process.argv[3]), "127.0.0.1");
