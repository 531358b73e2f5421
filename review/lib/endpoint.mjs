// A stand-in for an endpoint of the platform.
import { createServer } from "node:http";
import { heartbeatMilliseconds } from "./installation.mjs";

/** An endpoint that sends heartbeats and runs requests. */
export class Endpoint {
  #server;
  #timer;
  #sequence = 0;
  #running = 0;
  #queue = [];
  /** When the latest answer on a connection ends, by its socket. */
  #latestAnswers = new WeakMap();

  /**
   * @param installation The installation.
   * @param machine The machine beside whose node the endpoint runs.
   * @param options Slots, places in the queue, work in milliseconds, and what
   * a faulty endpoint does instead: `onRequest` returns true if it handled the
   * request.
   */
  constructor(installation, machine, options = {}) {
    this.installation = installation;
    this.machine = machine;
    this.slots = options.slots ?? 4;
    this.places = options.places ?? 4;
    this.workMilliseconds = options.workMilliseconds ?? 100;
    this.onRequest = options.onRequest ?? (() => false);
    this.sendsBeats = true;
    this.state = "ready";
    this.id = options.id ??
      `i-${Math.random().toString(16).slice(2, 10).padEnd(8, "0")}`;
    this.born = Date.now();
    /** Requests that it began to work on: id, method, path, caller and time. */
    this.runs = [];
  }

  get #record() {
    return this.installation.record;
  }

  async start() {
    this.#server = createServer(
      { keepAliveTimeout: 10_000, maxHeaderSize: 128 * 1024 },
      (request, response) => this.#handle(request, response),
    );
    const [host, port] = this.machine.endpointAddress.split(":");
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
    this.#timer = setInterval(() => {
      if (this.sendsBeats) {
        void this.beat();
      }
    }, heartbeatMilliseconds);
    await this.beat();
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    return new Promise((resolve) => this.#server.close(resolve));
  }

  /** Creates the body of the next heartbeat. */
  createBeat(fields = {}) {
    return {
      service: this.machine.service,
      address: this.machine.endpointAddress,
      zone: this.machine.zone,
      version: "v1",
      maxConcurrency: this.slots,
      state: this.state,
      warmupLeftS: 0,
      seq: ++this.#sequence,
      born: this.born,
      ...fields,
    };
  }

  /** Sends a heartbeat; the status of the answer, or why there was none. */
  async beat(body = this.createBeat(), id = this.id) {
    try {
      const { status } = await this.installation.callNode(
        this.machine,
        `/api/Instances.Heartbeat/${encodeURIComponent(id)}`,
        body,
      );
      return status;
    } catch (error) {
      return error.message;
    }
  }

  async deregister() {
    try {
      const { status } = await this.installation.callNode(
        this.machine,
        `/api/Instances.Deregister/${this.id}`,
        { born: this.born },
      );
      return status;
    } catch (error) {
      return error.message;
    }
  }

  #handle(request, response) {
    const chunks = [];
    request.on("error", () => {});
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", async () => {
      // An endpoint serves one request at a time on a connection.
      const previous = this.#latestAnswers.get(request.socket);
      this.#latestAnswers.set(
        request.socket,
        new Promise((resolve) => response.once("close", resolve)),
      );
      await previous;
      if (request.socket.destroyed) {
        return;
      }
      const attemptId = String(request.headers["x-attempt-id"]);
      const expected = request.headers["x-expect-instance"];
      if (request.url === "/health") {
        response.writeHead(200, { "X-Instance-Id": this.id });
        response.end();
      } else if (expected !== undefined && expected !== this.id) {
        this.#record.add(
          `endpoint ${this.machine.name}: ${attemptId} expects another instance: 421`,
        );
        response.writeHead(421, {
          "X-Instance-Id": this.id,
          "X-Attempt-Id": attemptId,
          "Content-Length": 0,
        });
        response.end();
      } else if (!this.onRequest(request, response, Buffer.concat(chunks))) {
        this.#offer(request, response);
      }
    });
  }

  #offer(request, response) {
    if (this.#running < this.slots) {
      this.run(request, response);
    } else if (this.#queue.length < this.places) {
      this.#queue.push({ request, response });
    } else {
      this.reject(request, response);
    }
  }

  /** States that the request was not run. */
  reject(request, response) {
    const attemptId = String(request.headers["x-attempt-id"]);
    this.#record.add(
      `endpoint ${this.machine.name}: ${attemptId} rejected, not run`,
    );
    response.writeHead(503, {
      "X-Attempt-Id": attemptId,
      "X-Not-Executed": "1",
      "Content-Length": 0,
    });
    response.end();
  }

  /** Creates the head of the answer of a run, without its last line. */
  createHead(attemptId) {
    return {
      "X-Attempt-Id": attemptId,
      "X-Server-Seal": `seal.${this.id}.${attemptId}`,
    };
  }

  /**
   * Runs a request and answers it, or lets `answer` do so.
   */
  run(request, response, answer) {
    const attemptId = String(request.headers["x-attempt-id"]);
    this.#running++;
    this.runs.push({
      attemptId,
      method: request.method,
      path: request.url,
      caller: request.headers["x-caller-service"],
      seconds: this.#record.now,
    });
    this.#record.add(`endpoint ${this.machine.name}: runs ${attemptId}`);
    let isOver = false;
    const end = () => {
      if (!isOver) {
        isOver = true;
        clearTimeout(timer);
        this.#running--;
        const next = this.#queue.shift();
        if (next !== undefined) {
          this.#offer(next.request, next.response);
        }
      }
    };
    const timer = setTimeout(() => {
      end();
      if (response.destroyed) {
        return;
      }
      const body = `answer to ${attemptId}`;
      if (answer !== undefined) {
        answer(body);
        return;
      }
      response.writeHead(200, {
        ...this.createHead(attemptId),
        "Content-Length": Buffer.byteLength(body),
      });
      response.end(body);
    }, this.workMilliseconds);
    // Drops the request when its connection closes.
    response.once("close", end);
  }
}
