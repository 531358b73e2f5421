import type { NodeMessage } from "../protocol/generated/session.ts";

/** Maximum number of kept messages; each takes up to a few hundred bytes. */
const maximumMessages = 1000;

/** Keeps messages until the answer to a later renewal confirms them. */
export class UnconfirmedMessages {
  #entries: {
    readonly message: NodeMessage["message"];
    confirmingSequence: number;
  }[] = [];

  /**
   * Adds a message, and drops the oldest one when there are too many.
   * @param message The message.
   * @param confirmingSequence Sequence of the first renewal whose answer
   * confirms it.
   * @returns The message that was dropped, if any.
   */
  add(
    message: NodeMessage["message"],
    confirmingSequence: number,
  ): NodeMessage["message"] {
    this.#entries.push({ message, confirmingSequence });
    return this.#entries.length > maximumMessages
      ? this.#entries.shift()?.message
      : undefined;
  }

  /** Removes the messages that the answer to a renewal confirms. */
  confirm(sequence: number): void {
    while (
      this.#entries[0] !== undefined &&
      this.#entries[0].confirmingSequence <= sequence
    ) {
      this.#entries.shift();
    }
  }

  /**
   * Gets the messages to send again, after a move to another instance.
   * @param confirmingSequence Sequence of the first renewal whose answer
   * confirms them.
   */
  getAllForResend(
    confirmingSequence: number,
  ): readonly NodeMessage["message"][] {
    return this.#entries.map((entry) => {
      entry.confirmingSequence = confirmingSequence;
      return entry.message;
    });
  }
}
