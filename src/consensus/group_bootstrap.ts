import type { RandomSource } from "../common/mod.ts";
import type { Identity } from "./persisted_state.ts";
import type { Member } from "./member.ts";
import type { Envelope } from "./message.ts";

/** Settings of a {@link GroupBootstrap}. */
export interface GroupBootstrapOptions {
  readonly identity: Identity;
  readonly address: string;
  /** Addresses of the initial members; the first one creates the group. */
  readonly initialMembers: readonly string[];
  /** Age up to which a hello message counts, in milliseconds. */
  readonly helloValidityMilliseconds: number;
}

/** Collects the hello messages of the instances that form a new group. */
export class GroupBootstrap {
  readonly #options: GroupBootstrapOptions;
  readonly #hellos = new Map<string, { id: string; receivedAt: number }>();

  /** @param options Identity of this instance and the initial members. */
  constructor(options: GroupBootstrapOptions) {
    this.#options = options;
  }

  /** Gets the addresses of the other initial members. */
  getOtherAddresses(): readonly string[] {
    const { address, initialMembers } = this.#options;
    return initialMembers.filter((each) => each !== address);
  }

  /** Records a hello message of another instance that has no group. */
  onHello({ fromAddress, fromId }: Envelope, nowMilliseconds: number): void {
    this.#hellos.set(fromAddress, { id: fromId, receivedAt: nowMilliseconds });
  }

  /**
   * Gets the members of the group that this instance is to create; `undefined`
   * unless it is the first initial member and all others recently sent a hello.
   */
  getMembers(nowMilliseconds: number): readonly Member[] | undefined {
    const {
      address,
      identity,
      initialMembers,
      helloValidityMilliseconds,
    } = this.#options;
    if (initialMembers[0] !== address) {
      return undefined;
    }
    const members: Member[] = [];
    for (const each of initialMembers) {
      const hello = this.#hellos.get(each);
      const isRecent = hello !== undefined &&
        nowMilliseconds - hello.receivedAt < helloValidityMilliseconds;
      if (each !== address && !isRecent) {
        return undefined;
      }
      const id = each === address ? identity.id : hello?.id ?? "";
      members.push({ id, address: each, isVoter: true });
    }
    return members;
  }
}

/** Creates a random identifier for a new group. */
export function createGroupId(random: RandomSource): string {
  return Array.from(
    { length: 16 },
    () => Math.floor(random() * 16).toString(16),
  ).join("");
}
