import type { ConsensusStatus } from "../consensus/mod.ts";

/**
 * Time without contact after which the leader removes a member. Restarts and
 * pauses of a few seconds are shorter; a member that returns after its removal
 * requests to join again.
 */
export const memberRemovalTimeoutMilliseconds = 10_000;
/**
 * Time without contact after which the leader removes a member while the group
 * has a new voter. It covers an election, and ends before a successor of the
 * member counts as caught up.
 */
export const earlyRemovalTimeoutMilliseconds = 3000;
/** Losses of disks at once that a group tolerates unless its settings differ. */
export const defaultToleratedLosses = 1;

/** A membership change that the leader makes to let an instance join. */
export type JoinStep =
  | { readonly kind: "none" }
  | { readonly kind: "add"; readonly address: string; readonly id: string }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string };

type Group = Pick<
  ConsensusStatus,
  "id" | "members" | "lastContactAgesMilliseconds"
>;

/**
 * Gets the next membership change towards making an instance a voter.
 * @param group The group as its leader knows it.
 * @param request Identity and address of the instance that requests to join.
 * @returns The change; `none` when the instance is a voter already.
 */
export function getJoinStep(
  group: Group,
  request: { readonly id: string; readonly address: string },
): JoinStep {
  const { id, address } = request;
  const member = group.members.find((each) => each.id === id);
  if (member?.isVoter === true) {
    return { kind: "none" };
  }
  if (member !== undefined) {
    return { kind: "promote", id };
  }
  // A member with the same address and another identity is the same instance
  // before it lost its disk. It is removed before the new one is added:
  // otherwise it would still count as a voter that never answers, and one more
  // failed instance could leave the group without a majority.
  const previous = group.members.find((each) => each.address === address);
  const voters = group.members.filter((each) => each.isVoter);
  const canRemove = previous !== undefined && previous.id !== group.id &&
    (!previous.isVoter || voters.length > 1);
  return canRemove
    ? { kind: "remove", id: previous.id }
    : { kind: "add", address, id };
}

/** Settings of {@link chooseMemberToRemove}. */
export interface RemovalOptions {
  /** Number of disks that may be lost at once. */
  readonly toleratedLosses: number;
  /** Whether an instance became a voter recently. */
  readonly hasNewVoter: boolean;
}

/**
 * Chooses an unresponsive member to remove; non-voters come first. An
 * unresponsive voter stays when fewer voters would remain than the group needs
 * to keep a majority after the tolerated losses of disks: it may return with its
 * disk, while a voter whose disk is lost never responds again.
 * @param group The group as its leader knows it.
 * @param options Tolerated losses, and whether there is a new voter.
 * @returns The identity of the member, or `undefined` when all members stay.
 */
export function chooseMemberToRemove(
  group: Group,
  { toleratedLosses, hasNewVoter }: RemovalOptions,
): string | undefined {
  // A new voter may be the successor of an unresponsive one. Together they
  // raise the majority, so that the tolerated losses could leave none.
  const timeout = hasNewVoter
    ? earlyRemovalTimeoutMilliseconds
    : memberRemovalTimeoutMilliseconds;
  const unresponsive = group.members.filter((each) =>
    (group.lastContactAgesMilliseconds.get(each.id) ?? 0) > timeout
  );
  const nonVoter = unresponsive.find((each) => !each.isVoter);
  if (nonVoter !== undefined) {
    return nonVoter.id;
  }
  const voters = group.members.filter((each) => each.isVoter);
  const minimumVoters = 2 * Math.max(toleratedLosses, defaultToleratedLosses) +
    1;
  return voters.length > minimumVoters ? unresponsive[0]?.id : undefined;
}
