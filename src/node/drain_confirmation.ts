/**
 * Tells which drain of the local target control remembers. Until it does, a node
 * that restarts does not know of the drain.
 */
export class DrainConfirmation {
  readonly #waiters = new Set<() => void>();
  #confirmedIncarnation: number | undefined;

  /**
   * Records that control remembers a drain.
   * @param incarnation The incarnation of the target that drains.
   */
  confirm(incarnation: number): void {
    this.#confirmedIncarnation = incarnation;
    [...this.#waiters].forEach((each) => each());
  }

  /**
   * Waits until control remembers a drain.
   * @param incarnation The incarnation of the target that drains.
   * @param limitMilliseconds Time to wait, at most.
   * @returns Whether control remembers it.
   */
  wait(incarnation: number, limitMilliseconds: number): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isConfirmed: boolean): void => {
        clearTimeout(timer);
        this.#waiters.delete(check);
        resolve(isConfirmed);
      };
      const check = (): void => {
        if (this.#confirmedIncarnation === incarnation) {
          finish(true);
        }
      };
      const timer = setTimeout(() => finish(false), limitMilliseconds);
      this.#waiters.add(check);
      check();
    });
  }
}
