import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";

/**
 * How a baseline proxy handles calls: without limits, or with a fixed
 * concurrency limit, a bounded queue and retries at each hop.
 */
export type BaselineMode = "pass-through" | "fixed-limit";

/** Settings of a baseline proxy, passed as a JSON argument. */
export interface BaselineOptions {
  readonly mode: BaselineMode;
  /** Port for callers and other proxies. */
  readonly inboundPort: number;
  /** Port for the outgoing calls of the target. */
  readonly outboundPort: number;
  readonly targetPort: number;
  /** Maximum of concurrent calls in the mode `fixed-limit`. */
  readonly slots: number;
  /** Inbound ports by service. */
  readonly services: Readonly<Record<string, readonly number[]>>;
}

/** Retries that each hop makes in the mode `fixed-limit`. */
const retriesPerHop = 2;
/** Maximum of queued calls for each slot in the mode `fixed-limit`. */
const queuedCallsPerSlot = 2;
const timeoutMilliseconds = 1500;

const options = JSON.parse(process.argv[2] ?? "{}") as BaselineOptions;
const agent = new Agent({ keepAlive: true, maxSockets: 2000 });
const queue: (() => void)[] = [];
let running = 0;
let nextPortIndex = 0;

interface ProxiedResponse {
  readonly status: number;
  readonly body: Buffer;
}

function sendRequest(
  port: number,
  incoming: IncomingMessage,
  body: Buffer,
): Promise<ProxiedResponse> {
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
    }, (upstreamResponse) => {
      const chunks: Buffer[] = [];
      upstreamResponse.on("data", (chunk) => chunks.push(chunk));
      upstreamResponse.on("error", fail);
      upstreamResponse.on("end", () =>
        resolve({
          status: upstreamResponse.statusCode ?? 502,
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

function writeResponse(
  response: ServerResponse,
  { status, body }: ProxiedResponse,
): void {
  response.writeHead(status, { "content-length": body.length }).end(body);
}

async function forwardToTarget(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  writeResponse(
    response,
    await sendRequest(options.targetPort, incoming, body),
  );
}

function handleInbound(incoming: IncomingMessage, response: ServerResponse) {
  if (options.mode === "pass-through") {
    void forwardToTarget(incoming, response);
    return;
  }
  const run = () => {
    running++;
    void forwardToTarget(incoming, response).finally(() => {
      running--;
      queue.shift()?.();
    });
  };
  if (running < options.slots) {
    run();
  } else if (queue.length < queuedCallsPerSlot * options.slots) {
    queue.push(run);
  } else {
    writeResponse(response, { status: 503, body: Buffer.alloc(0) });
  }
}

async function handleOutbound(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  const ports = options.services[incoming.headers.host ?? ""] ?? [];
  if (ports.length === 0) {
    // The host is no service: the target announces itself to its node. The
    // baselines accept that and ignore it.
    writeResponse(response, { status: 200, body: Buffer.alloc(0) });
    return;
  }
  const attempts = options.mode === "fixed-limit" ? 1 + retriesPerHop : 1;
  let result: ProxiedResponse = { status: 502, body: Buffer.alloc(0) };
  for (let attempt = 0; attempt < attempts; attempt++) {
    const port = ports[nextPortIndex++ % ports.length] as number;
    result = await sendRequest(port, incoming, body);
    if (result.status < 500) {
      break;
    }
  }
  writeResponse(response, result);
}

createServer(handleInbound).listen(options.inboundPort, "127.0.0.1");
createServer((incoming, response) => void handleOutbound(incoming, response))
  .listen(
    options.outboundPort,
    "127.0.0.1",
    () => process.stdout.write("listening\n"),
  );
