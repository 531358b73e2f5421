import type { ConsensusStatus } from "../consensus/mod.ts";

/**
 * Silence after which a member is removed. Longer than a restart or a freeze
 * of some seconds; a member that returns later asks for a place again.
 */
export const memberRemovalTimeoutMilliseconds = 10_000;
/** A group is not reduced below this number of voters. */
const minimumVoters = 3;

/** What the leader does for an instance that asks for a place. */
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
 * Gets the next step for an instance that asks for a place.
 * @param group The group as its leader knows it.
 * @param request Identity and address of the instance.
 * @returns One change of the members, or none when it has its place.
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
  // Another identity at the same address is a disk that was lost. It goes
  // first, so that a second loss does not leave the group without a majority.
  const former = group.members.find((each) => each.address === address);
  const voters = group.members.filter((each) => each.isVoter);
  const canRemove = former !== undefined && former.id !== group.id &&
    (!former.isVoter || voters.length > 1);
  return canRemove
    ? { kind: "remove", id: former.id }
    : { kind: "add", address, id };
}

/**
 * Chooses a member that has been silent for too long.
 * @param group The group as its leader knows it.
 * @returns Its identity, or `undefined` when all members stay.
 */
export function chooseMemberToRemove(group: Group): string | undefined {
  const silent = group.members.filter((each) =>
    (group.lastContactAgesMilliseconds.get(each.id) ?? 0) >
      memberRemovalTimeoutMilliseconds
  );
  const nonVoter = silent.find((each) => !each.isVoter);
  if (nonVoter !== undefined) {
    return nonVoter.id;
  }
  const voters = group.members.filter((each) => each.isVoter);
  return voters.length > minimumVoters ? silent[0]?.id : undefined;
}
