// Runs a stand-in endpoint in a process of its own. Each run is a line of its output.
// Its options are the JSON in the first argument.
import { Endpoint, request, sleep } from "./fleet.mjs";

const { ip, ports, machine, service, slots, workMs, answerBytes } = JSON.parse(
  process.argv[2],
);
let lines = "";
const fleet = {
  ports,
  endpoints: [],
  ip: () => ip,
  record: { add: (text) => lines += `${text}\n` },
  call: (_, method, path, body, limit = 1000) =>
    request({
      host: ip,
      port: ports.control,
      method,
      path,
      headers: { "Content-Type": "application/json" },
      body,
      limit,
    }),
};
setInterval(() => {
  process.stdout.write(lines);
  lines = "";
}, 200);
const endpoint = new Endpoint(fleet, machine, { service, slots });
const answer = Buffer.alloc(answerBytes, "a");
endpoint.work = async (incoming, response) => {
  await sleep(workMs);
  response.writeHead(200, {
    "X-Attempt-Id": incoming.headers["x-attempt-id"],
    "X-Server-Seal": "seal",
    "Content-Length": answer.length,
  });
  response.end(answer);
  return "handled";
};
await endpoint.start();
