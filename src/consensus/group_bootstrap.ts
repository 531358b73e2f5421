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
  /** Number of members for which the first one waits. */
  readonly minimumMembers: number;
  /** Time for which it waits for them once all initial members responded. */
  readonly waitMilliseconds: number;
  /** Age up to which a hello message counts, in milliseconds. */
  readonly helloValidityMilliseconds: number;
}

/** Collects the hello messages of the instances that form a new group. */
export class GroupBootstrap {
  readonly #options: GroupBootstrapOptions;
  readonly #hellos = new Map<string, { id: string; receivedAt: number }>();
  /** Time since which all initial members respond; `undefined` if not all do. */
  #respondingSinceMilliseconds: number | undefined;

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
   * Gets the members of the group that this instance is to create: the initial
   * members and all others that recently sent a hello.
   * @param nowMilliseconds Monotonic time.
   * @returns The members; `undefined` unless this instance is the first initial
   * member, all others recently sent a hello, and there are enough members or
   * it has waited for more.
   */
  getMembers(nowMilliseconds: number): readonly Member[] | undefined {
    const { address, identity, initialMembers, minimumMembers } = this.#options;
    if (initialMembers[0] !== address) {
      return undefined;
    }
    const ids = this.#getRecentIds(nowMilliseconds);
    ids.set(address, identity.id);
    if (!initialMembers.every((each) => ids.has(each))) {
      this.#respondingSinceMilliseconds = undefined;
      return undefined;
    }
    this.#respondingSinceMilliseconds ??= nowMilliseconds;
    const hasWaited = nowMilliseconds - this.#respondingSinceMilliseconds >=
      this.#options.waitMilliseconds;
    if (ids.size < minimumMembers && !hasWaited) {
      return undefined;
    }
    return [...new Set([...initialMembers, ...ids.keys()])].map((each) => ({
      id: ids.get(each) ?? "",
      address: each,
      isVoter: true,
    }));
  }

  /** Gets the identities of the instances that recently sent a hello. */
  #getRecentIds(nowMilliseconds: number): Map<string, string> {
    const ids = new Map<string, string>();
    for (const [address, { id, receivedAt }] of this.#hellos) {
      if (
        nowMilliseconds - receivedAt < this.#options.helloValidityMilliseconds
      ) {
        ids.set(address, id);
      }
    }
    return ids;
  }
}

/** Creates a random identifier for a new group. */
export function createGroupId(random: RandomSource): string {
  return Array.from(
    { length: 16 },
    () => Math.floor(random() * 16).toString(16),
  ).join("");
}
