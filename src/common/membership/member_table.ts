/** What is believed of each daemon of the zone, and which news is newer. */
import type { IHash } from "../services/services.ts";
import type { DaemonId, MonotonicTime } from "../types.ts";
import { MemberState } from "./types.ts";
import type { IMemberUpdate } from "./types.ts";

/** News with the moment it was taken in. */
export interface IKnownMember extends IMemberUpdate {
  readonly since: MonotonicTime;
}

/** Among news of the same incarnation the higher rank counts. */
const RANKS: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Dead]: 2,
  [MemberState.Left]: 3,
};

/** Whether a state counts as a live member. */
export function isLive(state: MemberState): boolean {
  return state === MemberState.Alive || state === MemberState.Suspect;
}

/** Other daemons of the zone, dead ones for a while included. */
export class MemberTable {
  readonly #hash: IHash;
  readonly #members = new Map<DaemonId, IKnownMember>();
  #live: readonly IKnownMember[] | null = null;
  #viewHash: number | null = null;

  constructor(hash: IHash) {
    this.#hash = hash;
  }

  get all(): readonly IKnownMember[] {
    return [...this.#members.values()];
  }

  /** Live members, sorted by identifier: the order of the ring. */
  get live(): readonly IKnownMember[] {
    this.#live ??= this.all
      .filter(({ state }) => isLive(state))
      .sort((left, right) =>
        left.member.daemon < right.member.daemon ? -1 : 1,
      );
    return this.#live;
  }

  /** Equal for equal sets of live members, whatever the order. */
  get viewHash(): number {
    this.#viewHash ??= this.live.reduce(
      (sum, { member }) => (sum ^ this.#hash.hash(member.daemon)) >>> 0,
      0,
    );
    return this.#viewHash;
  }

  get(daemon: DaemonId): IKnownMember | undefined {
    return this.#members.get(daemon);
  }

  /** Takes news in unless what is known is newer; true when it was taken. */
  apply(news: IMemberUpdate, now: MonotonicTime): boolean {
    const known = this.#members.get(news.member.daemon);
    if (known !== undefined && !isNewer(news, known)) {
      return false;
    }
    this.#members.set(news.member.daemon, { ...news, since: now });
    this.#forgetDerived();
    return true;
  }

  /** Drops members that have not been live for longer than the retention. */
  expire(before: MonotonicTime): void {
    for (const { member, state, since } of this.#members.values()) {
      if (!isLive(state) && since < before) {
        this.#members.delete(member.daemon);
      }
    }
  }

  #forgetDerived(): void {
    this.#live = null;
    this.#viewHash = null;
  }
}

function isNewer(news: IMemberUpdate, known: IMemberUpdate): boolean {
  if (known.state === MemberState.Left) {
    return false;
  }
  if (news.state === MemberState.Left) {
    return true;
  }
  return (
    news.incarnation > known.incarnation ||
    (news.incarnation === known.incarnation &&
      RANKS[news.state] > RANKS[known.state])
  );
}
