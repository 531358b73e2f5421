import { Agent, request } from "node:http";

/** A class of calls. */
export type LoadClass = "transfer" | "sheet" | "balance";

/** Names of the classes in descending priority. */
export const loadClasses: readonly LoadClass[] = [
  "transfer",
  "sheet",
  "balance",
];

/** Classes of ten consecutive requests; the sequence repeats. */
const classSequence: readonly LoadClass[] = [
  "transfer",
  "balance",
  "balance",
  "sheet",
  "balance",
  "transfer",
  "balance",
  "sheet",
  "balance",
  "sheet",
];

/** A request that completed. */
export interface Completion {
  readonly name: LoadClass;
  readonly atMilliseconds: number;
}

/** Settings of an {@link OpenLoopLoad}. */
export interface OpenLoopLoadOptions {
  readonly ports: readonly number[];
  /** Times that a caller sends a failed request again, without a delay. */
  readonly resends: number;
}

/** Time without a response after which a caller aborts an attempt. */
const requestTimeoutMilliseconds: Readonly<Record<LoadClass, number>> = {
  transfer: 4000,
  sheet: 3000,
  balance: 1500,
};

/** Sends requests at a rate that does not depend on the responses. */
export class OpenLoopLoad {
  readonly completions: Completion[] = [];
  /** Requests by class, without resends. */
  readonly sent = new Map<LoadClass, number>();
  /** Refusals by `class reason`. */
  readonly refusals = new Map<string, number>();
  readonly #options: OpenLoopLoadOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4000 });
  readonly #runId = Date.now().toString(36);
  #timer: NodeJS.Timeout | undefined;
  #rate = 0;
  #dueRequests = 0;
  #lastTickMilliseconds = 0;
  #index = 0;
  #pendingRequests = 0;

  /** @param options Ports of the chain and behavior of the callers. */
  constructor(options: OpenLoopLoadOptions) {
    this.#options = options;
  }

  /**
   * Starts to send, or changes the rate.
   * @param requestsPerSecond The rate; 0 stops.
   */
  setRate(requestsPerSecond: number): void {
    this.#rate = requestsPerSecond;
    if (this.#timer === undefined) {
      this.#lastTickMilliseconds = performance.now();
      this.#timer = setInterval(() => this.#sendDue(), 2);
    }
  }

  /** Stops sending, and waits until every request has ended. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    while (this.#pendingRequests > 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    this.#agent.destroy();
  }

  #sendDue(): void {
    const now = performance.now();
    this.#dueRequests += (now - this.#lastTickMilliseconds) * this.#rate / 1000;
    this.#lastTickMilliseconds = now;
    while (this.#dueRequests >= 1) {
      this.#dueRequests--;
      void this.#runRequest(this.#index++);
    }
  }

  async #runRequest(index: number): Promise<void> {
    const name = classSequence[index % classSequence.length] as LoadClass;
    this.sent.set(name, (this.sent.get(name) ?? 0) + 1);
    this.#pendingRequests++;
    for (let attempt = 0; attempt <= this.#options.resends; attempt++) {
      const reason = await this.#sendAttempt(name, index + attempt);
      if (reason === undefined) {
        this.completions.push({ name, atMilliseconds: performance.now() });
        break;
      }
      const key = `${name} ${reason}`;
      this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
    }
    this.#pendingRequests--;
  }

  /**
   * Sends a request once.
   * @returns Why it failed; undefined if it completed.
   */
  #sendAttempt(name: LoadClass, index: number): Promise<string | undefined> {
    const { ports } = this.#options;
    const path = name === "balance" ? `/balances/${index % 500}` : `/${name}s`;
    return new Promise((resolve) => {
      const outgoing = request({
        host: "127.0.0.1",
        port: ports[index % ports.length] as number,
        agent: this.#agent,
        method: name === "balance" ? "GET" : "POST",
        path,
        timeout: requestTimeoutMilliseconds[name],
        headers: {
          "x-member": `member-${index % 500}`,
          ...(name === "transfer" && {
            "idempotency-key": `${this.#runId}-${index}`,
          }),
        },
      }, (response) => {
        response.resume();
        response.on("error", () => resolve("broken"));
        response.on("end", () => {
          const { headers, statusCode = 0 } = response;
          const reason = headers["dogwoodwalk-reason"] ??
            `status ${statusCode}`;
          resolve(statusCode < 400 ? undefined : String(reason));
        });
      });
      outgoing.on("timeout", () => outgoing.destroy());
      outgoing.on("error", () => resolve("broken"));
      outgoing.end(name === "balance" ? undefined : `call=${index}`);
    });
  }
}
