import { Agent, createServer, request } from "node:http";

/** The bare pass-through that a node is compared with. */
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
  }, (answer) => {
    response.writeHead(answer.statusCode ?? 502, answer.headers);
    answer.pipe(response);
  });
  outgoing.on("error", () => response.destroy());
  incoming.pipe(outgoing);
});
server.keepAliveTimeout = 60_000;
server.listen(Number(process.argv[3]), "127.0.0.1");
