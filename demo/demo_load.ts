import { Agent, request } from "node:http";

/** A class of calls that the demo sends. */
export type DemoClass = "transfer" | "sheet" | "balance";

/** Outcomes of the calls of a class. */
export interface ClassResult {
  readonly name: DemoClass;
  sent: number;
  completed: number;
  /** Refusals and failures by `disposition reason`. */
  readonly refused: Map<string, number>;
}

/** Settings of a {@link DemoLoad}. */
export interface DemoLoadOptions {
  /** Ports on which the nodes accept calls from outside. */
  readonly ports: readonly number[];
  readonly callsPerSecond: number;
}

/** Classes of ten consecutive calls; the sequence repeats. */
const classSequence: readonly DemoClass[] = [
  "transfer",
  "balance",
  "balance",
  "sheet",
  "balance",
  "transfer",
  "balance",
  "sheet",
  "balance",
  "balance",
];

/** Sends calls of all classes at a fixed rate, regardless of the responses. */
export class DemoLoad {
  readonly #options: DemoLoadOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 2000 });
  readonly #results = new Map<DemoClass, ClassResult>();
  readonly #pending = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #started = 0;
  #sent = 0;

  /** @param options Ports and rate. */
  constructor(options: DemoLoadOptions) {
    this.#options = options;
    for (const name of ["transfer", "sheet", "balance"] as const) {
      const result = { name, sent: 0, completed: 0, refused: new Map() };
      this.#results.set(name, result);
    }
  }

  /** Starts to send. */
  start(): void {
    this.#started = performance.now();
    this.#timer = setInterval(() => this.#sendDue(), 5);
  }

  /** Stops sending, and waits for the responses. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  /** Gets the outcomes of the calls by class. */
  getResults(): ClassResult[] {
    return [...this.#results.values()];
  }

  #sendDue(): void {
    const elapsed = performance.now() - this.#started;
    const due = Math.floor(elapsed * this.#options.callsPerSecond / 1000);
    while (this.#sent < due) {
      this.#sendCall(this.#sent++);
    }
  }

  #sendCall(index: number): void {
    const name = classSequence[index % classSequence.length] as DemoClass;
    const result = this.#results.get(name) as ClassResult;
    result.sent++;
    const { ports } = this.#options;
    const pending = this.#sendRequest(name, {
      index,
      port: ports[index % ports.length] as number,
    }).then((reason) => {
      if (reason === undefined) {
        result.completed++;
      } else {
        result.refused.set(reason, (result.refused.get(reason) ?? 0) + 1);
      }
      this.#pending.delete(pending);
    });
    this.#pending.add(pending);
  }

  /**
   * Sends one call.
   * @returns Why it failed; undefined if it completed.
   */
  #sendRequest(
    name: DemoClass,
    options: { index: number; port: number },
  ): Promise<string | undefined> {
    const { index, port } = options;
    const path =
      { transfer: "/transfers", sheet: "/sheets", balance: "" }[name] ||
      `/balances/${index % 50}`;
    return new Promise((resolve) => {
      const outgoing = request({
        host: "127.0.0.1",
        port,
        agent: this.#agent,
        method: name === "balance" ? "GET" : "POST",
        path,
        headers: {
          "x-member": `member-${index % 40}`,
          "x-call": `demo-${index}`,
          ...(name === "transfer" && { "idempotency-key": `pay-${index}` }),
        },
      }, (response) => {
        response.resume();
        response.on("error", () => resolve("broken response"));
        response.on("end", () => {
          const { headers, statusCode = 0 } = response;
          const reason = headers["dogwoodwalk-reason"];
          resolve(
            statusCode < 400
              ? undefined
              : reason === undefined
              ? `target status ${statusCode}`
              : `${headers["dogwoodwalk-disposition"]} ${reason}`,
          );
        });
      });
      outgoing.on("error", () => resolve("broken connection"));
      outgoing.end(name === "balance" ? undefined : `call=${index}`);
    });
  }
}
