import type { NodeMessage } from "../protocol/generated/session.ts";

/** Most messages that are kept; each is at most some hundred bytes. */
const maximumUnconfirmed = 1000;

/** Keeps messages until the answer to a later renewal confirms them. */
export class UnconfirmedMessages {
  #entries: {
    readonly message: NodeMessage["message"];
    confirmedBy: number;
  }[] = [];

  /**
   * Keeps a message; the oldest is dropped when there are too many.
   * @param message The message.
   * @param confirmedBy Sequence of the renewal whose answer confirms it.
   * @returns The message that was dropped, if any.
   */
  add(
    message: NodeMessage["message"],
    confirmedBy: number,
  ): NodeMessage["message"] {
    this.#entries.push({ message, confirmedBy });
    return this.#entries.length > maximumUnconfirmed
      ? this.#entries.shift()?.message
      : undefined;
  }

  /** Forgets what the answer to a renewal confirms. */
  confirm(sequence: number): void {
    while (
      this.#entries[0] !== undefined &&
      this.#entries[0].confirmedBy <= sequence
    ) {
      this.#entries.shift();
    }
  }

  /**
   * Gets the messages to send again, after a move to another instance.
   * @param confirmedBy Sequence of the renewal whose answer confirms them.
   */
  renumberAll(confirmedBy: number): readonly NodeMessage["message"][] {
    return this.#entries.map((entry) => {
      entry.confirmedBy = confirmedBy;
      return entry.message;
    });
  }
}
