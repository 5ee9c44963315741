/**
 * What is known of the other zones. Two delegates a zone, chosen by rendezvous
 * hashing, ask delegates of other zones; the rest ask a delegate of their own.
 * Links between zones are few, costly and lossy, so their traffic must grow
 * with the zones and not with the daemons.
 */
import type { IHash, ILiveDaemons, IRandom } from "../services/services.ts";
import type { DaemonId, MonotonicTime, ServiceName } from "../types.ts";
import type { ZoneName } from "../types.ts";
import { chooseByRendezvous } from "./rendezvous.ts";
import type { IMember } from "./types.ts";

/** Daemons of a zone that speak with other zones. */
export const DELEGATES = 2;

/** The duty by which delegates are chosen. */
export const DELEGATE_DUTY = "delegate between zones";

/** How often the rest of a zone ask a delegate, milliseconds. */
const ASK_DELEGATE_EVERY = 5_000;

/** How long a contact that failed is left alone, milliseconds. */
const FAILED_FOR = 10_000;

/** Load of one service in a zone. */
export interface IServiceLoad {
  readonly service: ServiceName;
  /** Complete replica groups, or ready plain targets. */
  readonly places: number;
  readonly running: number;
  readonly queued: number;
}

/** What one zone tells others of itself. */
export interface IZoneSummary {
  readonly zone: ZoneName;
  /** Live daemons by the zone's own view. */
  readonly daemons: number;
  readonly delegates: readonly IMember[];
  readonly loads: readonly IServiceLoad[];
  /** Milliseconds since the zone said so. */
  readonly age: number;
}

interface IHeldSummary {
  readonly summary: IZoneSummary;
  /** The moment on this daemon's clock that it describes, or earlier. */
  readonly seenAt: MonotonicTime;
}

/** Keeps the newest summary of each zone, and chooses whom to ask next. */
export class ZoneDirectory {
  readonly #self: IMember;
  readonly #live: ILiveDaemons;
  readonly #hash: IHash;
  readonly #random: IRandom;
  readonly #held = new Map<ZoneName, IHeldSummary>();
  readonly #contacts = new Map<ZoneName, Map<DaemonId, IMember>>();
  readonly #failedAt = new Map<string, MonotonicTime>();
  readonly #askedAt = new Map<ZoneName, MonotonicTime>();
  #askedDelegateAt = Number.NEGATIVE_INFINITY;

  constructor(
    self: IMember,
    parts: {
      readonly live: ILiveDaemons;
      readonly hash: IHash;
      readonly random: IRandom;
    },
  ) {
    this.#self = self;
    this.#live = parts.live;
    this.#hash = parts.hash;
    this.#random = parts.random;
  }

  get isDelegate(): boolean {
    return this.#live.isChosen(DELEGATE_DUTY, DELEGATES);
  }

  /** Names of this zone's delegates. */
  get delegates(): readonly DaemonId[] {
    const options = { count: DELEGATES, hash: this.#hash };
    return chooseByRendezvous(DELEGATE_DUTY, this.#live.inZone, options);
  }

  /** Replaces contacts in other zones by what the platform lists. */
  setContacts(members: readonly IMember[]): void {
    this.#contacts.clear();
    for (const member of members) {
      if (member.zone !== this.#self.zone) {
        const known = this.#contacts.get(member.zone) ?? new Map();
        this.#contacts.set(member.zone, known.set(member.daemon, member));
      }
    }
  }

  /** What is known of other zones, with its age now. */
  summaries(now: MonotonicTime): readonly IZoneSummary[] {
    return [...this.#held.values()].map(({ summary, seenAt }) => ({
      ...summary,
      age: Math.ceil(now - seenAt),
    }));
  }

  /**
   * Whom to ask now, or null.
   * @param members - this zone's live members, to reach a delegate among them
   */
  nextContact(members: readonly IMember[], now: MonotonicTime): IMember | null {
    if (this.isDelegate) {
      return this.#nextOtherZone(now);
    }
    if (now - this.#askedDelegateAt < ASK_DELEGATE_EVERY) {
      return null;
    }
    this.#askedDelegateAt = now;
    const { delegates } = this;
    return this.#choose(
      members.filter(({ daemon }) => delegates.includes(daemon)),
      now,
    );
  }

  /**
   * Takes an answer.
   * @param askedAt - when it was asked for; ages count from there, so that a
   * slow answer never looks fresher than it is
   */
  merge(zones: readonly IZoneSummary[], askedAt: MonotonicTime): void {
    for (const summary of zones) {
      const seenAt = askedAt - summary.age;
      const held = this.#held.get(summary.zone);
      const isNewer = held === undefined || held.seenAt < seenAt;
      if (summary.zone !== this.#self.zone && isNewer) {
        this.#held.set(summary.zone, { summary, seenAt });
      }
    }
  }

  recordFailure(member: IMember, now: MonotonicTime): void {
    this.#failedAt.set(member.peerAddress, now);
    for (const [address, at] of this.#failedAt) {
      if (now - at > FAILED_FOR) {
        this.#failedAt.delete(address);
      }
    }
  }

  #nextOtherZone(now: MonotonicTime): IMember | null {
    const zones = new Set([...this.#contacts.keys(), ...this.#held.keys()]);
    const lastAsked = (zone: ZoneName) =>
      this.#askedAt.get(zone) ?? Number.NEGATIVE_INFINITY;
    const oldest = [...zones].sort(
      (left, right) => lastAsked(left) - lastAsked(right),
    )[0];
    if (oldest === undefined) {
      return null;
    }
    this.#askedAt.set(oldest, now);
    const delegates = this.#held.get(oldest)?.summary.delegates ?? [];
    const contacts = [...(this.#contacts.get(oldest)?.values() ?? [])];
    return this.#choose(delegates, now) ?? this.#choose(contacts, now);
  }

  #choose(members: readonly IMember[], now: MonotonicTime): IMember | null {
    const usable = members.filter(({ peerAddress }) => {
      const failedAt = this.#failedAt.get(peerAddress);
      return failedAt === undefined || now - failedAt > FAILED_FOR;
    });
    const index = Math.floor(this.#random.next() * usable.length);
    return usable[index] ?? null;
  }
}
