import { createServer, request } from "node:http";

/**
 * A target that answers at once: `echo_target.js <port> <loopback port>`. The
 * second port is that of its node; 0 for none.
 */
const [port, nodePort] = process.argv.slice(2).map(Number);
const body = Buffer.from(JSON.stringify({ text: "x".repeat(480) }));
const headers = [
  "Content-Type",
  "application/json",
  "Content-Length",
  String(body.length),
];
const server = createServer((incoming, response) => {
  incoming.resume();
  incoming.on("end", () => {
    response.writeHead(200, headers);
    response.end(body);
  });
});
server.keepAliveTimeout = 60_000;
server.listen(port, "127.0.0.1", () => {
  if (nodePort) {
    tellNode("announce");
    setInterval(() => tellNode("renew"), 1000);
  }
});

function tellNode(action: string): void {
  const address = `127.0.0.1:${port}`;
  request({
    host: "127.0.0.1",
    port: nodePort,
    method: "POST",
    path: `/dogwoodwalk/${action}`,
  }, (response) => response.resume()).on("error", () => {})
    .end(JSON.stringify({ address, incarnation: 1 }));
}
