import type { RandomSource } from "../common/mod.ts";
import type { Identity } from "./persisted_state.ts";
import type { Member } from "./member.ts";
import type { Envelope } from "./message.ts";

/** What a {@link GroupBootstrap} needs. */
export interface GroupBootstrapOptions {
  readonly identity: Identity;
  readonly address: string;
  /** Addresses of the founding members; the first one founds the group. */
  readonly initialMembers: readonly string[];
  /** Time for which a hello counts, in milliseconds. */
  readonly helloMilliseconds: number;
}

/** Collects the hellos of the instances that found a group together. */
export class GroupBootstrap {
  readonly #options: GroupBootstrapOptions;
  readonly #hellos = new Map<string, { id: string; at: number }>();

  /** @param options Who this instance is and who founds the group. */
  constructor(options: GroupBootstrapOptions) {
    this.#options = options;
  }

  /** Gets the addresses of the other founding members. */
  getOtherAddresses(): readonly string[] {
    const { address, initialMembers } = this.#options;
    return initialMembers.filter((each) => each !== address);
  }

  /** Records the hello of another instance that has no group. */
  onHello({ fromAddress, fromId }: Envelope, nowMilliseconds: number): void {
    this.#hellos.set(fromAddress, { id: fromId, at: nowMilliseconds });
  }

  /**
   * Gets the members with which this instance founds the group; `undefined`
   * unless it is the first one and heard all others lately.
   */
  getMembers(nowMilliseconds: number): readonly Member[] | undefined {
    const { address, identity, initialMembers, helloMilliseconds } =
      this.#options;
    if (initialMembers[0] !== address) {
      return undefined;
    }
    const members: Member[] = [];
    for (const each of initialMembers) {
      const hello = this.#hellos.get(each);
      const isRecent = hello !== undefined &&
        nowMilliseconds - hello.at < helloMilliseconds;
      if (each !== address && !isRecent) {
        return undefined;
      }
      const id = each === address ? identity.id : hello?.id ?? "";
      members.push({ id, address: each, isVoter: true });
    }
    return members;
  }
}

/** Creates the identity of a new group. */
export function createGroupId(random: RandomSource): string {
  return Array.from(
    { length: 16 },
    () => Math.floor(random() * 16).toString(16),
  ).join("");
}
