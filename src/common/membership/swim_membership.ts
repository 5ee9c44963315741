/**
 * Which daemons of the zone are live: a state machine after SWIM (Das, Gupta
 * and Motivala, 2002). Events and the time go in, actions come out; it does no
 * I/O. Each period one member is probed. A member that answers neither the
 * probe nor probes through others becomes suspect, and dead unless it refutes
 * that in time with a higher incarnation. What is learnt travels on the probes.
 *
 * Differences from the paper: every second probe goes to the next member on a
 * ring, so that a death is noticed within two periods, which random choice only
 * makes likely; suspects are probed each period with the suspicion told first,
 * so that they can refute it; and messages carry a hash of the sender's view,
 * so that views that differ without news to tell are compared whole.
 */
import type { IHash, IRandom } from "../services/services.ts";
import type { DaemonId, MonotonicTime } from "../types.ts";
import { isLive, MemberTable } from "./member_table.ts";
import { UpdateQueue } from "./update_queue.ts";
import { MembershipActionKind, MemberState } from "./types.ts";
import type {
  IMember,
  IMemberMessage,
  IMembershipTiming,
  IMemberUpdate,
  MembershipAction,
} from "./types.ts";

/** Members asked to probe one that did not answer. */
const RELAYS = 3;

/** Members told at once of a departure, before the daemon exits. */
const TOLD_OF_LEAVING = 3;

/** Contacts not yet heard of that are probed each period. */
const CONTACTS_PER_PERIOD = 3;

/** A dead member is probed each so many periods, in case it is back. */
const PERIODS_PER_REVIVAL = 4;

/**
 * Members told at once of a suspicion or a death by whoever finds it. When the
 * news waited for the next period, a death was still unknown somewhere in a
 * zone of 39 after 5 s in 1 of 22 runs (membership_test.ts).
 */
const TOLD_OF_FINDING = 3;

/** Probes of a contact before it is given up. */
const CONTACT_ATTEMPTS = 5;

/** Fewest periods from one comparison of whole views to the next. */
const PERIODS_PER_SYNCHRONIZATION = 4;

/** Answers in a row from differing views before they are compared: fewer
 * would compare while news is still on its way. */
const DIFFERING_ANSWERS = 3;

interface IOpenProbe {
  readonly target: IMember;
  /** Relays still to answer; null while the direct probe is open. */
  relaysLeft: number | null;
}

interface IContact {
  readonly member: IMember;
  attemptsLeft: number;
}

/** One daemon's part in the protocol. */
export class SwimMembership {
  readonly #self: IMember;
  readonly #timing: IMembershipTiming;
  readonly #random: IRandom;
  readonly #table: MemberTable;
  readonly #news = new UpdateQueue();
  readonly #open = new Map<number, IOpenProbe>();
  readonly #contacts = new Map<DaemonId, IContact>();
  readonly #selfHash: number;
  #incarnation = 0;
  #state = MemberState.Alive;
  #nextProbe = 1;
  #periods = 0;
  #lastSynchronized = Number.NEGATIVE_INFINITY;
  #differing = 0;
  #round: DaemonId[] = [];

  constructor(
    self: IMember,
    timing: IMembershipTiming,
    sources: { readonly random: IRandom; readonly hash: IHash },
  ) {
    this.#self = self;
    this.#timing = timing;
    this.#random = sources.random;
    this.#table = new MemberTable(sources.hash);
    this.#selfHash = sources.hash.hash(self.daemon);
  }

  /** Other live daemons of the zone, suspects included. */
  get live(): readonly IMember[] {
    return this.#table.live.map(({ member }) => member);
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** Everything known, this daemon first: for a peer that compares views. */
  get view(): readonly IMemberUpdate[] {
    return [this.#ownNews, ...this.#table.all];
  }

  stateOf(daemon: DaemonId): MemberState | null {
    return this.#table.get(daemon)?.state ?? null;
  }

  /** Starts a period: probes one member, and settles old suspicions. */
  tick(now: MonotonicTime): readonly MembershipAction[] {
    this.#periods += 1;
    this.#table.expire(now - this.#timing.retention);
    const actions = this.#settleSuspicions(now);
    const targets = [
      this.#chooseTarget(),
      this.#chooseSuspect(),
      this.#chooseDead(),
      ...this.#takeContacts(),
    ];
    const seen = new Set<DaemonId>();
    for (const target of targets) {
      if (target !== null && !seen.has(target.daemon)) {
        seen.add(target.daemon);
        actions.push(this.#probe(target));
      }
    }
    return actions;
  }

  /** Probes some members out of turn, so that news spreads at once. */
  spreadUpdates(count: number): readonly MembershipAction[] {
    return this.#sample(count, new Set()).map((member) => this.#probe(member));
  }

  /** Takes daemons named by the platform or the settings: they are probed. */
  addContacts(members: readonly IMember[]): void {
    for (const member of members) {
      const isKnown = this.#table.get(member.daemon) !== undefined;
      if (this.#belongs(member) && !isKnown) {
        const attemptsLeft = CONTACT_ATTEMPTS;
        this.#contacts.set(member.daemon, { member, attemptsLeft });
      }
    }
  }

  /** Another daemon's probe; `answer` afterwards gives what to answer. */
  handleProbe(
    message: IMemberMessage,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    return this.#takeMessage(message, now);
  }

  /** The answer to a probe by a daemon. */
  composeAnswer(to: DaemonId): IMemberMessage {
    return this.#compose(to);
  }

  /** A probe was answered, directly or through a relay. */
  handleAnswer(
    probe: number,
    message: IMemberMessage,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const target = this.#open.get(probe)?.target;
    this.#open.delete(probe);
    const actions = this.#takeMessage(message, now);
    const answeredBy = message.from.member.daemon;
    if (target !== undefined && answeredBy !== target.daemon) {
      // The address answers as another: the daemon asked for was restarted,
      // and its old identity will never refute anything.
      const known = this.#table.get(target.daemon);
      const incarnation = known?.incarnation ?? 0;
      const state = MemberState.Left;
      this.#takeNews({ member: target, incarnation, state }, now, actions);
    }
    const isSame = message.viewHash === this.#viewHash;
    this.#differing = isSame ? 0 : this.#differing + 1;
    actions.push(...this.#synchronize(message.from.member, now));
    return actions;
  }

  /** A probe was not answered, directly or by one relay. */
  handleProbeFailure(
    probe: number,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const open = this.#open.get(probe);
    if (open === undefined) {
      return [];
    }
    if (open.relaysLeft === null) {
      return this.#askRelays(probe, open, now);
    }
    open.relaysLeft -= 1;
    return open.relaysLeft > 0 ? [] : this.#suspect(probe, open.target, now);
  }

  /** Takes another daemon's whole view. */
  mergeView(
    view: readonly IMemberUpdate[],
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    view.forEach((news) => this.#takeNews(news, now, actions));
    return actions;
  }

  /** Says that this daemon leaves; the probes should be sent before exit. */
  leave(): readonly MembershipAction[] {
    this.#state = MemberState.Left;
    return this.spreadUpdates(TOLD_OF_LEAVING);
  }

  get #ownNews(): IMemberUpdate {
    return {
      member: this.#self,
      incarnation: this.#incarnation,
      state: this.#state,
    };
  }

  get #viewHash(): number {
    return (this.#table.viewHash ^ this.#selfHash) >>> 0;
  }

  #belongs(member: IMember): boolean {
    return (
      member.zone === this.#self.zone && member.daemon !== this.#self.daemon
    );
  }

  #compose(to: DaemonId): IMemberMessage {
    // Whoever is believed not alive is told so first: it cannot refute what it
    // does not hear, and would stay out of the view although it answers.
    const believed = this.#table.get(to);
    const isDoubted =
      believed !== undefined && believed.state !== MemberState.Alive;
    return {
      from: this.#ownNews,
      viewHash: this.#viewHash,
      news: [...(isDoubted ? [believed] : []), ...this.#news.takeNext()],
    };
  }

  #probe(target: IMember): MembershipAction {
    const probe = this.#nextProbe;
    this.#nextProbe += 1;
    this.#open.set(probe, { target, relaysLeft: null });
    const message = this.#compose(target.daemon);
    return { kind: MembershipActionKind.Probe, probe, target, message };
  }

  #takeMessage(
    message: IMemberMessage,
    now: MonotonicTime,
  ): MembershipAction[] {
    const actions: MembershipAction[] = [];
    this.#takeNews(message.from, now, actions);
    message.news.forEach((news) => this.#takeNews(news, now, actions));
    return actions;
  }

  #takeNews(
    news: IMemberUpdate,
    now: MonotonicTime,
    actions: MembershipAction[],
  ): void {
    if (news.member.daemon === this.#self.daemon) {
      this.#refute(news);
      return;
    }
    if (!this.#belongs(news.member)) {
      return;
    }
    const before = this.#table.get(news.member.daemon);
    if (!this.#table.apply(news, now)) {
      return;
    }
    this.#contacts.delete(news.member.daemon);
    this.#news.add(news, this.#table.live.length);
    const wasLive = before !== undefined && isLive(before.state);
    if (wasLive !== isLive(news.state)) {
      actions.push({ kind: MembershipActionKind.Changed });
    }
  }

  #refute(news: IMemberUpdate): void {
    const isAccusation = news.state !== MemberState.Alive;
    if (isAccusation && news.incarnation >= this.#incarnation) {
      this.#incarnation = news.incarnation + 1;
      this.#news.add(this.#ownNews, this.#table.live.length);
    }
  }

  #settleSuspicions(now: MonotonicTime): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const known of this.#table.live) {
      const isOver = now - known.since >= this.#timing.suspicion;
      if (known.state === MemberState.Suspect && isOver) {
        const { member, incarnation } = known;
        const state = MemberState.Dead;
        this.#takeNews({ member, incarnation, state }, now, actions);
        actions.push(...this.spreadUpdates(TOLD_OF_FINDING));
      }
    }
    return actions;
  }

  #askRelays(
    probe: number,
    open: IOpenProbe,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const { target } = open;
    if (!this.#isLive(target.daemon)) {
      this.#open.delete(probe);
      return [];
    }
    const relays = this.#sample(RELAYS, new Set([target.daemon]));
    if (relays.length === 0) {
      return this.#suspect(probe, target, now);
    }
    open.relaysLeft = relays.length;
    return relays.map((relay) => {
      const message = this.#compose(target.daemon);
      const kind = MembershipActionKind.ProbeThrough;
      return { kind, probe, relay, target, message };
    });
  }

  #suspect(
    probe: number,
    target: IMember,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    this.#open.delete(probe);
    const known = this.#table.get(target.daemon);
    const actions: MembershipAction[] = [];
    if (known?.state === MemberState.Alive) {
      const { incarnation } = known;
      const state = MemberState.Suspect;
      this.#takeNews({ member: target, incarnation, state }, now, actions);
      actions.push(...this.spreadUpdates(TOLD_OF_FINDING));
    }
    return actions;
  }

  #synchronize(
    target: IMember,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const pause = this.#timing.period * PERIODS_PER_SYNCHRONIZATION;
    const isSoon = now - this.#lastSynchronized < pause;
    const isSettled = this.#differing < DIFFERING_ANSWERS;
    if (isSettled || isSoon || !this.#belongs(target)) {
      return [];
    }
    this.#lastSynchronized = now;
    return [{ kind: MembershipActionKind.Synchronize, target }];
  }

  #chooseTarget(): IMember | null {
    return this.#periods % 2 === 0 ? this.#successor() : this.#nextInRound();
  }

  #successor(): IMember | null {
    const { live } = this.#table;
    const next = live.find(({ member }) => member.daemon > this.#self.daemon);
    return (next ?? live[0])?.member ?? null;
  }

  /** Every live member once in a random order, then in another. */
  #nextInRound(): IMember | null {
    for (;;) {
      const daemon = this.#round.pop();
      if (daemon === undefined) {
        break;
      }
      if (this.#isLive(daemon)) {
        return this.#table.get(daemon)?.member ?? null;
      }
    }
    const { live } = this.#table;
    this.#round = this.#shuffle(live.map(({ member }) => member.daemon));
    const first = this.#round.pop();
    return first === undefined
      ? null
      : (this.#table.get(first)?.member ?? null);
  }

  #chooseSuspect(): IMember | null {
    const suspects = this.#table.live.filter(
      ({ state }) => state === MemberState.Suspect,
    );
    return this.#pick(suspects)?.member ?? null;
  }

  #chooseDead(): IMember | null {
    if (this.#periods % PERIODS_PER_REVIVAL !== 0) {
      return null;
    }
    const dead = this.#table.all.filter(
      ({ state }) => state === MemberState.Dead,
    );
    return this.#pick(dead)?.member ?? null;
  }

  #takeContacts(): readonly IMember[] {
    const taken = [...this.#contacts.values()].slice(0, CONTACTS_PER_PERIOD);
    for (const contact of taken) {
      const { daemon } = contact.member;
      contact.attemptsLeft -= 1;
      // Put behind the others, so that silent contacts do not block them.
      this.#contacts.delete(daemon);
      if (contact.attemptsLeft > 0) {
        this.#contacts.set(daemon, contact);
      }
    }
    return taken.map(({ member }) => member);
  }

  #isLive(daemon: DaemonId): boolean {
    const known = this.#table.get(daemon);
    return known !== undefined && isLive(known.state);
  }

  #sample(count: number, without: ReadonlySet<DaemonId>): readonly IMember[] {
    const candidates = this.live.filter(({ daemon }) => !without.has(daemon));
    return this.#shuffle(candidates).slice(0, count);
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#random.next() * items.length)];
  }

  #shuffle<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index--) {
      const other = Math.floor(this.#random.next() * (index + 1));
      const held = shuffled[index] as T;
      shuffled[index] = shuffled[other] as T;
      shuffled[other] = held;
    }
    return shuffled;
  }
}
