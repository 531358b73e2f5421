import { Agent, request } from "node:http";

/** A class of calls. */
export type LoadClass = "transfer" | "sheet" | "balance";

/** Names of the classes, the most important first. */
export const loadClasses: readonly LoadClass[] = [
  "transfer",
  "sheet",
  "balance",
];

/** Of ten requests, which class each one is. */
const mix: readonly LoadClass[] = [
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

/** Whole requests that completed, with the time of each. */
export interface Completion {
  readonly name: LoadClass;
  readonly atMilliseconds: number;
}

/** Settings of an {@link OpenLoopLoad}. */
export interface OpenLoopLoadOptions {
  readonly ports: readonly number[];
  /** Sends of a caller after a failure, at once. */
  readonly resends: number;
}

/** Time after which a caller gives up one send. */
const patienceMilliseconds: Readonly<Record<LoadClass, number>> = {
  transfer: 4000,
  sheet: 3000,
  balance: 1500,
};

/** Sends requests at a rate that does not depend on the responses. */
export class OpenLoopLoad {
  readonly completions: Completion[] = [];
  /** Requests by class, resends not counted. */
  readonly sent = new Map<LoadClass, number>();
  /** Refusals by `class reason`. */
  readonly refusals = new Map<string, number>();
  readonly #options: OpenLoopLoadOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4000 });
  readonly #run = Date.now().toString(36);
  #timer: NodeJS.Timeout | undefined;
  #rate = 0;
  #due = 0;
  #lastMilliseconds = 0;
  #index = 0;
  #open = 0;

  /** @param options Where to send, and how callers behave. */
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
      this.#lastMilliseconds = performance.now();
      this.#timer = setInterval(() => this.#sendDue(), 2);
    }
  }

  /** Stops sending, and waits until every request has ended. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    while (this.#open > 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    this.#agent.destroy();
  }

  #sendDue(): void {
    const now = performance.now();
    this.#due += (now - this.#lastMilliseconds) * this.#rate / 1000;
    this.#lastMilliseconds = now;
    while (this.#due >= 1) {
      this.#due--;
      void this.#request(this.#index++);
    }
  }

  async #request(index: number): Promise<void> {
    const name = mix[index % mix.length] as LoadClass;
    this.sent.set(name, (this.sent.get(name) ?? 0) + 1);
    this.#open++;
    for (let send = 0; send <= this.#options.resends; send++) {
      const reason = await this.#send(name, index + send);
      if (reason === undefined) {
        this.completions.push({ name, atMilliseconds: performance.now() });
        break;
      }
      const key = `${name} ${reason}`;
      this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
    }
    this.#open--;
  }

  /** Sends once; resolves with why it did not complete. */
  #send(name: LoadClass, index: number): Promise<string | undefined> {
    const { ports } = this.#options;
    const path = name === "balance" ? `/balances/${index % 500}` : `/${name}s`;
    return new Promise((resolve) => {
      const outgoing = request({
        host: "127.0.0.1",
        port: ports[index % ports.length] as number,
        agent: this.#agent,
        method: name === "balance" ? "GET" : "POST",
        path,
        timeout: patienceMilliseconds[name],
        headers: {
          "x-member": `member-${index % 500}`,
          ...(name === "transfer" && {
            "idempotency-key": `${this.#run}-${index}`,
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
