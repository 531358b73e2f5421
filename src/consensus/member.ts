/** An instance of the group. */
export interface Member {
  /** Identity of its data folder; another folder is another member. */
  readonly id: string;
  /** IP address and port, such as `10.0.0.1:7000`. */
  readonly address: string;
  /** False for an instance that only receives the log. */
  readonly isVoter: boolean;
}

/** One change of the group; the log carries at most one at a time. */
export type MemberChange =
  /** Adds a non-voter; without `id` the instance at the address is asked. */
  | { readonly kind: "add"; readonly address: string; readonly id?: string }
  /** Makes a caught-up non-voter a voter. */
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string }
  /** Adds, promotes, then removes the old member, one change at a time. */
  | {
    readonly kind: "replace";
    readonly oldId: string;
    readonly address: string;
    readonly id?: string;
  };

/**
 * Gets the number of voters that make a majority.
 * @param members All members.
 * @returns At least 1.
 */
export function getMajority(members: readonly Member[]): number {
  return Math.floor(members.filter((each) => each.isVoter).length / 2) + 1;
}

/**
 * Reports whether an identity belongs to a voter.
 * @param members All members.
 * @param id The identity.
 */
export function isVoter(members: readonly Member[], id: string): boolean {
  return members.some((each) => each.id === id && each.isVoter);
}
