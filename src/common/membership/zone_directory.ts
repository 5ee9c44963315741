/**
 * Summaries of the other zones. Two delegates per zone, chosen by rendezvous
 * hashing, query delegates of other zones; the other daemons query a delegate
 * of their own zone. Links between zones are few, costly and lossy, so their
 * traffic must grow with the number of zones and not of daemons.
 */
import type { IHash, ILiveDaemons, IRandom } from "../services/services.ts";
import type { DaemonId, MonotonicTime, ServiceName } from "../types.ts";
import type { ZoneName } from "../types.ts";
import { chooseByRendezvous } from "./rendezvous.ts";
import type { IMember } from "./types.ts";

/** Number of daemons of a zone that query other zones. */
export const DELEGATES = 2;

/** The duty that is hashed to choose delegates; equal in all daemons. */
export const DELEGATE_DUTY = "delegate between zones";

/** How often the other daemons of a zone query a delegate, milliseconds. */
const DELEGATE_QUERY_PERIOD = 5_000;

/** How long a contact that failed is not queried, milliseconds. */
const FAILED_CONTACT_PAUSE = 10_000;

/** Load of one service in a zone. */
export interface IServiceLoad {
  readonly service: ServiceName;
  /** Complete replica groups, or ready plain targets. */
  readonly places: number;
  readonly running: number;
  readonly queued: number;
}

/** A zone's summary of itself for other zones. */
export interface IZoneSummary {
  readonly zone: ZoneName;
  /** Number of live daemons in the zone's own view. */
  readonly daemons: number;
  readonly delegates: readonly IMember[];
  readonly loads: readonly IServiceLoad[];
  /** Milliseconds since the zone reported it. */
  readonly age: number;
}

interface IHeldSummary {
  readonly summary: IZoneSummary;
  /** The time on this daemon's clock that it describes, or earlier. */
  readonly seenAt: MonotonicTime;
}

/** Keeps the newest summary of each zone, and chooses the next contact. */
export class ZoneDirectory {
  readonly #self: IMember;
  readonly #live: ILiveDaemons;
  readonly #hash: IHash;
  readonly #random: IRandom;
  readonly #summaries = new Map<ZoneName, IHeldSummary>();
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

  /** Replaces the contacts in other zones by those that the platform lists. */
  setContacts(members: readonly IMember[]): void {
    this.#contacts.clear();
    for (const member of members) {
      if (member.zone !== this.#self.zone) {
        const known = this.#contacts.get(member.zone) ?? new Map();
        this.#contacts.set(member.zone, known.set(member.daemon, member));
      }
    }
  }

  /** Summaries of other zones with their current age. */
  summaries(now: MonotonicTime): readonly IZoneSummary[] {
    return [...this.#summaries.values()].map(({ summary, seenAt }) => ({
      ...summary,
      age: Math.ceil(now - seenAt),
    }));
  }

  /**
   * The daemon to query now, or null.
   * @param members - this zone's live members, for a delegate among them
   */
  nextContact(members: readonly IMember[], now: MonotonicTime): IMember | null {
    if (this.isDelegate) {
      return this.#nextZoneContact(now);
    }
    if (now - this.#askedDelegateAt < DELEGATE_QUERY_PERIOD) {
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
   * Merges an answer.
   * @param askedAt - time of the request; ages count from it, so that a slow
   * answer never looks fresher than it is
   */
  merge(zones: readonly IZoneSummary[], askedAt: MonotonicTime): void {
    for (const summary of zones) {
      const seenAt = askedAt - summary.age;
      const held = this.#summaries.get(summary.zone);
      const isNewer = held === undefined || held.seenAt < seenAt;
      if (summary.zone !== this.#self.zone && isNewer) {
        this.#summaries.set(summary.zone, { summary, seenAt });
      }
    }
  }

  recordFailure(member: IMember, now: MonotonicTime): void {
    this.#failedAt.set(member.peerAddress, now);
    for (const [address, at] of this.#failedAt) {
      if (now - at > FAILED_CONTACT_PAUSE) {
        this.#failedAt.delete(address);
      }
    }
  }

  #nextZoneContact(now: MonotonicTime): IMember | null {
    const zones = new Set([
      ...this.#contacts.keys(),
      ...this.#summaries.keys(),
    ]);
    const lastAsked = (zone: ZoneName) =>
      this.#askedAt.get(zone) ?? Number.NEGATIVE_INFINITY;
    const oldest = [...zones].sort(
      (left, right) => lastAsked(left) - lastAsked(right),
    )[0];
    if (oldest === undefined) {
      return null;
    }
    this.#askedAt.set(oldest, now);
    const delegates = this.#summaries.get(oldest)?.summary.delegates ?? [];
    const contacts = [...(this.#contacts.get(oldest)?.values() ?? [])];
    return this.#choose(delegates, now) ?? this.#choose(contacts, now);
  }

  #choose(members: readonly IMember[], now: MonotonicTime): IMember | null {
    const usable = members.filter(({ peerAddress }) => {
      const failedAt = this.#failedAt.get(peerAddress);
      return failedAt === undefined || now - failedAt > FAILED_CONTACT_PAUSE;
    });
    const index = Math.floor(this.#random.next() * usable.length);
    return usable[index] ?? null;
  }
}
