// Clients of a machine, which send requests at a steady rate.
import { Agent } from "node:http";
import { createAttemptId, send } from "./installation.mjs";

/**
 * Sends requests through the node of a machine until stopped.
 * @param record The record of the case.
 * @param options Machine, method, path, rate, time budget, and whether the
 * clients keep their connections.
 */
export class Clients {
  /** One entry a request: id, path, when it was sent and how it ended. */
  requests = [];
  #timer;
  #open = new Set();
  #agent;

  constructor(record, options) {
    this.record = record;
    this.options = options;
    this.#agent = options.keepsConnections
      ? new Agent({ keepAlive: true })
      : false;
  }

  start() {
    this.#timer = setInterval(
      () => this.sendOne(),
      1000 / this.options.perSecond,
    );
  }

  sendOne() {
    const { machine, method, path, deadlineMilliseconds } = this.options;
    const entry = {
      id: createAttemptId(),
      path,
      sentSeconds: this.record.now,
      endSeconds: undefined,
      status: undefined,
      error: undefined,
    };
    this.requests.push(entry);
    const sent = send({
      ...machine.outbound,
      method,
      path,
      agent: this.#agent,
      limitMilliseconds: deadlineMilliseconds,
      headers: {
        Host: "fund.example",
        "X-Attempt-Id": entry.id,
        "X-Deadline-Ms": deadlineMilliseconds,
      },
      body: method === "POST" ? "amount=1" : undefined,
    }).then(({ status, headers, body }) => {
      entry.status = status;
      entry.seal = headers["x-server-seal"];
      entry.body = body.toString();
    }, (error) => {
      entry.error = error.message;
    }).then(() => {
      entry.endSeconds = this.record.now;
      this.#open.delete(sent);
      this.record.add(
        `client ${entry.id} ${path} at ${machine.name}: ${
          entry.status ?? entry.error
        }, ${((entry.endSeconds - entry.sentSeconds) * 1000).toFixed(0)} ms`,
      );
    });
    this.#open.add(sent);
  }

  /** Sends no further request and waits for the open ones. */
  async stop() {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
    if (this.#agent) {
      this.#agent.destroy();
    }
  }
}
