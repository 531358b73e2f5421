import { createServer, request } from "node:http";

/**
 * A target that responds immediately: `echo_target.js <port> <node port>`. The
 * node port is the loopback port of its node, or 0 if it has none.
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
    sendToNode("announce");
    setInterval(() => sendToNode("renew"), 1000);
  }
});

function sendToNode(action: string): void {
  const address = `127.0.0.1:${port}`;
  request({
    host: "127.0.0.1",
    port: nodePort,
    method: "POST",
    path: `/dogwoodwalk/${action}`,
  }, (response) => response.resume()).on("error", () => {})
    .end(JSON.stringify({ address, incarnation: 1 }));
}
