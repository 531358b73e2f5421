/** A control instance that belongs to the group. */
export interface Member {
  /**
   * Identity stored in its data folder. An instance with a new folder is a new
   * member.
   */
  readonly id: string;
  /** IP address and port, such as `10.0.0.1:7000`. */
  readonly address: string;
  /** False for a member that receives the log but has no vote. */
  readonly isVoter: boolean;
}

/** A change of the group's members. Only one is in progress at a time. */
export type MemberChange =
  /**
   * Adds a non-voter. Without `id`, the identity is requested from the instance
   * at the address.
   */
  | { readonly kind: "add"; readonly address: string; readonly id?: string }
  /** Promotes a non-voter, whose log must have caught up, to a voter. */
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string }
  /** Adds and promotes the new member, then removes the old one. */
  | {
    readonly kind: "replace";
    readonly oldId: string;
    readonly address: string;
    readonly id?: string;
  };

/**
 * Gets the number of voters that form a majority.
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
