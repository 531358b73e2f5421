import { appendFileSync } from "node:fs";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A call that the stand-in makes for each of its own. */
export interface StandInCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/** Behavior of a stand-in target; it can be changed while it runs. */
export interface StandInBehavior {
  /** Calls that run at once; others wait. */
  slots: number;
  /** Calls that wait at most; further ones get the shed signal. */
  queueLimit: number;
  serviceMilliseconds: number;
  /** Calls by the path prefix of the incoming call. */
  calls: Readonly<Record<string, readonly StandInCall[]>>;
  /** Delay with which the load endpoint tells the truth. */
  loadDelayMilliseconds: number;
}

/** Settings of a stand-in target. */
export interface StandInOptions extends Partial<StandInBehavior> {
  readonly service: string;
  /** Port of the node's loopback listener; 0 for no node. */
  readonly nodePort?: number;
  /** File to which each run is appended as a line of JSON. */
  readonly recordFile?: string | undefined;
  /** Ends the process on a marked request; in tests, closes the server. */
  onCrash?(): void;
}

/** One call that the stand-in ran. */
export interface StandInRun {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Value of dogwoodwalk-request. */
  readonly request: string;
  /** Value of Idempotency-Key; empty when absent. */
  readonly key: string;
  /** Value of x-call, by which a test names its call. */
  readonly call: string;
  readonly bytes: number;
  end: "running" | "completed" | "cancelled" | "crashed" | "failed" | "shed";
}

interface WaitingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
}

/** A target for tests: an HTTP server with slots and a service time. */
export class StandInTarget {
  readonly behavior: StandInBehavior;
  readonly runs: StandInRun[] = [];
  readonly #options: StandInOptions;
  readonly #server: Server;
  readonly #waiting: WaitingCall[] = [];
  #running = 0;
  #load = 0;
  #renewal: NodeJS.Timeout | undefined;
  #incarnation = Date.now();

  /** @param options Behavior and the node beside it. */
  constructor(options: StandInOptions) {
    this.#options = options;
    this.behavior = {
      slots: options.slots ?? 16,
      queueLimit: options.queueLimit ?? 1000,
      serviceMilliseconds: options.serviceMilliseconds ?? 0,
      calls: options.calls ?? {},
      loadDelayMilliseconds: options.loadDelayMilliseconds ?? 1000,
    };
    this.#server = createServer((request, response) =>
      this.#onRequest(request, response)
    );
  }

  /** Gets the port, once it listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Gets the calls that run now. */
  get running(): number {
    return this.#running;
  }

  /** Listens on a free loopback port. */
  async listen(port = 0): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
  }

  /** Announces the target to its node, and renews the announcement. */
  async announce(renewalMilliseconds = 1000): Promise<void> {
    this.#incarnation = Math.max(this.#incarnation + 1, Date.now());
    await this.notifyNode("announce");
    this.#renewal = setInterval(() => {
      this.notifyNode("renew").then((status) =>
        status === 409 ? this.notifyNode("announce") : status
      ).catch(() => {});
    }, renewalMilliseconds);
  }

  /** Tells the node of a change; returns its HTTP status. */
  notifyNode(
    action: "announce" | "renew" | "drain" | "leave",
  ): Promise<number> {
    const address = `127.0.0.1:${this.port}`;
    const body = JSON.stringify({ address, incarnation: this.#incarnation });
    return new Promise((resolve, reject) => {
      request({
        host: "127.0.0.1",
        port: this.#options.nodePort,
        method: "POST",
        path: `/dogwoodwalk/${action}`,
        agent: false,
      }, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      }).on("error", reject).end(body);
    });
  }

  /** Stops renewing, without telling the node. */
  stopRenewing(): void {
    clearInterval(this.#renewal);
  }

  /** Closes the server and all its connections at once. */
  async close(): Promise<void> {
    this.stopRenewing();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === "/load") {
      response.end(String(this.#load));
      return;
    }
    const chunks: Buffer[] = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks);
      if (request.url === "/stand-in/behavior") {
        Object.assign(this.behavior, JSON.parse(body.toString()));
        response.end();
        this.#startWaiting();
        return;
      }
      if (request.url === "/stand-in/runs") {
        response.end(JSON.stringify(this.runs));
        return;
      }
      this.#offer({ request, response, body });
    });
  }

  #offer(call: WaitingCall): void {
    if (this.#running < this.behavior.slots) {
      this.#run(call);
    } else if (this.#waiting.length < this.behavior.queueLimit) {
      this.#waiting.push(call);
    } else {
      call.response.writeHead(503, { "x-shed": "1" }).end("shed");
    }
  }

  #startWaiting(): void {
    while (this.#running < this.behavior.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.response.destroyed) {
        this.#run(next);
      }
    }
  }

  #run(call: WaitingCall): void {
    const { request, response, body } = call;
    this.#changeRunning(1);
    const run = this.#record(request, body);
    const finish = (end: StandInRun["end"]): void => {
      if (run.end === "running") {
        run.end = end;
        this.#changeRunning(-1);
        this.#startWaiting();
      }
    };
    response.on("close", () => {
      if (!response.writableFinished) {
        finish("cancelled");
      }
    });
    if (request.headers["x-crash"] !== undefined) {
      run.end = "crashed";
      this.#options.onCrash?.();
      return;
    }
    setTimeout(() => {
      if (run.end !== "running") {
        return;
      }
      this.#callOthers(run, request.headers).then((status) => {
        if (run.end === "running") {
          if (status === "not-run") {
            // Nothing has taken effect, so the call can be sent again.
            finish("shed");
            this.#writeRecord(run);
            response.writeHead(503, { "x-shed": "1" }).end("shed");
            return;
          }
          finish(status < 400 ? "completed" : "failed");
          const text = JSON.stringify({ call: run.call, path: run.path });
          response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
          }).end(text);
        }
      });
    }, this.behavior.serviceMilliseconds).unref();
  }

  #record(request: IncomingMessage, body: Buffer): StandInRun {
    const { headers } = request;
    const run: StandInRun = {
      service: this.#options.service,
      method: request.method ?? "",
      path: request.url ?? "",
      request: String(headers["dogwoodwalk-request"] ?? ""),
      key: String(headers["idempotency-key"] ?? ""),
      call: String(headers["x-call"] ?? ""),
      bytes: body.length,
      end: "running",
    };
    this.runs.push(run);
    this.#writeRecord(run);
    return run;
  }

  /** Appends a run at its start, and again when it was shed without effect. */
  #writeRecord(run: StandInRun): void {
    if (this.#options.recordFile !== undefined) {
      appendFileSync(this.#options.recordFile, JSON.stringify(run) + "\n");
    }
  }

  async #callOthers(
    run: StandInRun,
    headers: IncomingMessage["headers"],
  ): Promise<number | "not-run"> {
    const { calls } = this.behavior;
    const prefix = Object.keys(calls).find((each) => run.path.startsWith(each));
    for (const [index, call] of (calls[prefix ?? ""] ?? []).entries()) {
      const status = await this.#callOther(call, headers);
      if (status === "not-run" && index === 0) {
        return status;
      }
      if (status === "not-run" || status >= 400) {
        return 502;
      }
    }
    return 200;
  }

  #callOther(
    call: StandInCall,
    headers: IncomingMessage["headers"],
  ): Promise<number | "not-run"> {
    const copied: Record<string, string> = { host: call.service };
    for (
      const name of ["dogwoodwalk-request", "idempotency-key", "x-call"]
    ) {
      const value = headers[name];
      if (typeof value === "string") {
        copied[name] = value;
      }
    }
    return new Promise((resolve) => {
      const outgoing = request({
        host: "127.0.0.1",
        port: this.#options.nodePort,
        method: call.method,
        path: call.path,
        headers: copied,
      }, (response) => {
        response.resume();
        response.on("end", () =>
          resolve(
            response.headers["dogwoodwalk-disposition"] === "not-run"
              ? "not-run"
              : response.statusCode ?? 502,
          ));
        response.on("error", () => resolve(502));
      });
      outgoing.on("error", () => resolve(502));
      outgoing.end();
    });
  }

  #changeRunning(by: number): void {
    this.#running += by;
    const load = this.#running;
    const lag = this.behavior.loadDelayMilliseconds;
    setTimeout(() => this.#load = load, lag).unref();
  }
}
