import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";

/** How a baseline proxy treats calls. */
export type BaselineMode = "pass-through" | "fixed-limit";

/** Settings of a baseline proxy, a JSON argument. */
export interface BaselineOptions {
  readonly mode: BaselineMode;
  /** Port for callers and other proxies. */
  readonly inboundPort: number;
  /** Port for the outgoing calls of the target. */
  readonly outboundPort: number;
  readonly targetPort: number;
  /** Calls that run at once in the mode `fixed-limit`. */
  readonly slots: number;
  /** Inbound ports by service. */
  readonly services: Readonly<Record<string, readonly number[]>>;
}

/** Retries that each hop makes in the mode `fixed-limit`. */
const retriesPerHop = 2;
/** Calls that wait, in multiples of the slots, in the mode `fixed-limit`. */
const queueFactor = 2;
const timeoutMilliseconds = 1500;

const options = JSON.parse(process.argv[2] ?? "{}") as BaselineOptions;
const agent = new Agent({ keepAlive: true, maxSockets: 2000 });
const queue: (() => void)[] = [];
let running = 0;
let next = 0;

interface Reply {
  readonly status: number;
  readonly body: Buffer;
}

function send(
  port: number,
  incoming: IncomingMessage,
  body: Buffer,
): Promise<Reply> {
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 502, body: Buffer.alloc(0) });
    const outgoing = request({
      host: "127.0.0.1",
      port,
      agent,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
      timeout: timeoutMilliseconds,
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk) => chunks.push(chunk));
      answer.on("error", fail);
      answer.on("end", () =>
        resolve({
          status: answer.statusCode ?? 502,
          body: Buffer.concat(chunks),
        }));
    });
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", fail);
    outgoing.end(body);
  });
}

function readBody(incoming: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    incoming.on("data", (chunk) => chunks.push(chunk));
    incoming.on("error", () => resolve(Buffer.alloc(0)));
    incoming.on("end", () => resolve(Buffer.concat(chunks)));
  });
}

function reply(response: ServerResponse, { status, body }: Reply): void {
  response.writeHead(status, { "content-length": body.length }).end(body);
}

async function runInbound(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  reply(response, await send(options.targetPort, incoming, body));
}

function takeInbound(incoming: IncomingMessage, response: ServerResponse) {
  if (options.mode === "pass-through") {
    void runInbound(incoming, response);
    return;
  }
  const run = () => {
    running++;
    void runInbound(incoming, response).finally(() => {
      running--;
      queue.shift()?.();
    });
  };
  if (running < options.slots) {
    run();
  } else if (queue.length < queueFactor * options.slots) {
    queue.push(run);
  } else {
    reply(response, { status: 503, body: Buffer.alloc(0) });
  }
}

async function takeOutbound(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  const ports = options.services[incoming.headers.host ?? ""] ?? [];
  if (ports.length === 0) {
    // The announcements of the target.
    reply(response, { status: 200, body: Buffer.alloc(0) });
    return;
  }
  const attempts = options.mode === "fixed-limit" ? 1 + retriesPerHop : 1;
  let result: Reply = { status: 502, body: Buffer.alloc(0) };
  for (let attempt = 0; attempt < attempts; attempt++) {
    const port = ports[next++ % ports.length] as number;
    result = await send(port, incoming, body);
    if (result.status < 500) {
      break;
    }
  }
  reply(response, result);
}

createServer(takeInbound).listen(options.inboundPort, "127.0.0.1");
createServer((incoming, response) => void takeOutbound(incoming, response))
  .listen(
    options.outboundPort,
    "127.0.0.1",
    () => process.stdout.write("listening\n"),
  );
