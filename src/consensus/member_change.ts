import { failed, ok, type Result } from "../common/mod.ts";
import type { SingleMemberChange } from "./core_types.ts";
import type { Member } from "./member.ts";

/**
 * Applies one change to a list of members.
 * @param members The members before the change.
 * @param change The change.
 * @param hasCaughtUp Reports whether a non-voter's log is close enough to the
 * leader's for a promotion.
 * @returns The changed members, or the reason why the change is refused.
 */
export function applyMemberChange(
  members: readonly Member[],
  change: SingleMemberChange,
  hasCaughtUp: (id: string) => boolean,
): Result<Member[], string> {
  const position = members.findIndex((each) => each.id === change.id);
  const member = members[position];
  switch (change.kind) {
    case "add": {
      const { id, address } = change;
      return member === undefined
        ? ok([...members, { id, address, isVoter: false }])
        : failed(`${id} is a member already`);
    }
    case "promote":
      if (member === undefined || member.isVoter) {
        return failed(`${change.id} is not a non-voter of the group`);
      }
      return hasCaughtUp(change.id)
        ? ok(members.with(position, { ...member, isVoter: true }))
        : failed(`${change.id} has not caught up`);
    case "remove": {
      if (member === undefined) {
        return failed(`${change.id} is not a member`);
      }
      const others = members.toSpliced(position, 1);
      return others.some((each) => each.isVoter)
        ? ok(others)
        : failed(`${change.id} is the last voter`);
    }
  }
}
