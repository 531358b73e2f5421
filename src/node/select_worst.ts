/** Something that holds memory. */
export interface Holder {
  readonly bytes: number;
  /** Time since which it holds memory. */
  readonly sinceMilliseconds: number;
}

/**
 * Selects what has to give up its memory: the largest holder first, and the
 * oldest of several that are equally large.
 * @param holders All holders.
 * @param limitBytes What the others may hold together.
 * @returns The selected ones, the worst first.
 */
export function selectWorst<Item extends Holder>(
  holders: readonly Item[],
  limitBytes: number,
): Item[] {
  let excess = holders.reduce((sum, { bytes }) => sum + bytes, 0) - limitBytes;
  if (excess <= 0) {
    return [];
  }
  const selected: Item[] = [];
  for (const holder of holders.toSorted(compareHolders)) {
    selected.push(holder);
    excess -= holder.bytes;
    if (excess <= 0) {
      break;
    }
  }
  return selected;
}

/** Orders holders, the worst first. */
export function compareHolders(a: Holder, b: Holder): number {
  return b.bytes - a.bytes || a.sinceMilliseconds - b.sinceMilliseconds;
}
