/** The known state of each daemon of the zone, and which update is newer. */
import type { IHash } from "../services/services.ts";
import type { DaemonId, MonotonicTime } from "../types.ts";
import { MemberState } from "./types.ts";
import type { IMemberUpdate } from "./types.ts";

/** An update with the time at which it was applied. */
export interface IKnownMember extends IMemberUpdate {
  readonly since: MonotonicTime;
}

/** Precedence of states among updates of the same incarnation. */
const PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Dead]: 2,
  [MemberState.Left]: 3,
};

/** Whether a state counts as a live member. */
export function isLive(state: MemberState): boolean {
  return state === MemberState.Alive || state === MemberState.Suspect;
}

/** The other daemons of the zone, including dead ones until they expire. */
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

  /** Equal for equal sets of live members, in any order. */
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

  /** Applies an update unless a newer one is known; true when applied. */
  apply(update: IMemberUpdate, now: MonotonicTime): boolean {
    const known = this.#members.get(update.member.daemon);
    if (known !== undefined && !isNewer(update, known)) {
      return false;
    }
    this.#members.set(update.member.daemon, { ...update, since: now });
    this.#clearCaches();
    return true;
  }

  /** Drops members that ceased to be live before the given time. */
  expire(before: MonotonicTime): void {
    for (const { member, state, since } of this.#members.values()) {
      if (!isLive(state) && since < before) {
        this.#members.delete(member.daemon);
      }
    }
  }

  #clearCaches(): void {
    this.#live = null;
    this.#viewHash = null;
  }
}

function isNewer(update: IMemberUpdate, known: IMemberUpdate): boolean {
  if (known.state === MemberState.Left) {
    return false;
  }
  if (update.state === MemberState.Left) {
    return true;
  }
  return (
    update.incarnation > known.incarnation ||
    (update.incarnation === known.incarnation &&
      PRECEDENCE[update.state] > PRECEDENCE[known.state])
  );
}
