/**
 * Detects which daemons of the zone are live: a state machine after SWIM (Das,
 * Gupta and Motivala, 2002). It takes events and the time, returns actions and
 * does no I/O. Each period one member is probed. A member that answers neither
 * the probe nor indirect probes becomes suspect, and dead unless it refutes
 * that in time with a higher incarnation. Updates are piggybacked on probes.
 *
 * Differences from the paper: every second probe goes to the next member on a
 * ring, so that a death is detected within two periods, which random choice
 * only makes likely; suspects are probed each period with the suspicion first
 * in the message, so that they can refute it; and messages carry a hash of the
 * sender's view, so that full views are exchanged where they differ with no
 * updates left to send.
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

/** Members asked to probe a member that did not answer. */
const RELAYS_PER_PROBE = 3;

/** Members notified at once of a departure, before the daemon exits. */
const LEAVE_FANOUT = 3;

/** Contacts that are not members yet and are probed each period. */
const CONTACTS_PER_PERIOD = 3;

/** Periods between probes of dead members, in case one is back. */
const PERIODS_PER_DEAD_PROBE = 4;

/**
 * Members notified at once of a suspicion or a death by its detector. If the
 * update waits for the next period, a daemon of a zone of 39 still does not
 * know of a death after 5 s in 1 of 22 runs (swim_membership_test.ts).
 */
const DETECTION_FANOUT = 3;

/** Probes of a contact before it is dropped. */
const CONTACT_ATTEMPTS = 5;

/** Minimum number of periods from one exchange of full views to the next. */
const PERIODS_PER_SYNCHRONIZATION = 4;

/**
 * Consecutive answers with a different view before full views are exchanged:
 * fewer would exchange them while updates are still spreading.
 */
const MINIMUM_DIFFERING_ANSWERS = 3;

interface IOpenProbe {
  readonly target: IMember;
  /** Relays that have not answered; null while the direct probe is open. */
  relaysLeft: number | null;
}

interface IContact {
  readonly member: IMember;
  attemptsLeft: number;
}

/** The protocol's state machine of one daemon. */
export class SwimMembership {
  readonly #self: IMember;
  readonly #timing: IMembershipTiming;
  readonly #random: IRandom;
  readonly #table: MemberTable;
  readonly #updates = new UpdateQueue();
  readonly #openProbes = new Map<number, IOpenProbe>();
  readonly #contacts = new Map<DaemonId, IContact>();
  readonly #selfHash: number;
  #incarnation = 0;
  #state = MemberState.Alive;
  #nextProbe = 1;
  #periods = 0;
  #lastSynchronized = Number.NEGATIVE_INFINITY;
  #differingAnswers = 0;
  #probeRound: DaemonId[] = [];

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

  /** The full view, this daemon first, for a peer that synchronizes. */
  get view(): readonly IMemberUpdate[] {
    return [this.#ownUpdate, ...this.#table.all];
  }

  stateOf(daemon: DaemonId): MemberState | null {
    return this.#table.get(daemon)?.state ?? null;
  }

  /** Starts a period: probes members, and declares overdue suspects dead. */
  tick(now: MonotonicTime): readonly MembershipAction[] {
    this.#periods += 1;
    this.#table.expire(now - this.#timing.retention);
    const actions = this.#declareOverdueDead(now);
    const targets = [
      this.#chooseTarget(),
      this.#chooseSuspect(),
      this.#chooseDead(),
      ...this.#nextContacts(),
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

  /** Probes random members out of turn, so that updates spread at once. */
  spreadUpdates(count: number): readonly MembershipAction[] {
    return this.#sample(count, new Set()).map((member) => this.#probe(member));
  }

  /** Adds daemons named by the platform or the settings, to be probed. */
  addContacts(members: readonly IMember[]): void {
    for (const member of members) {
      const isKnown = this.#table.get(member.daemon) !== undefined;
      if (this.#isZonePeer(member) && !isKnown) {
        const attemptsLeft = CONTACT_ATTEMPTS;
        this.#contacts.set(member.daemon, { member, attemptsLeft });
      }
    }
  }

  /** Handles another daemon's probe; then `composeAnswer` gives the answer. */
  handleProbe(
    message: IMemberMessage,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    return this.#applyMessage(message, now);
  }

  /** The answer to a daemon's probe. */
  composeAnswer(to: DaemonId): IMemberMessage {
    return this.#composeMessage(to);
  }

  /** Handles the answer to a probe, direct or through a relay. */
  handleAnswer(
    probe: number,
    message: IMemberMessage,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const target = this.#openProbes.get(probe)?.target;
    this.#openProbes.delete(probe);
    const actions = this.#applyMessage(message, now);
    const answeredBy = message.from.member.daemon;
    if (target !== undefined && answeredBy !== target.daemon) {
      // Another daemon answers at the address: the probed one was restarted,
      // and its old identity never refutes a suspicion.
      const known = this.#table.get(target.daemon);
      const incarnation = known?.incarnation ?? 0;
      const state = MemberState.Left;
      this.#applyUpdate({ member: target, incarnation, state }, now, actions);
    }
    const isSameView = message.viewHash === this.#viewHash;
    this.#differingAnswers = isSameView ? 0 : this.#differingAnswers + 1;
    actions.push(...this.#synchronizeIfDiffering(message.from.member, now));
    return actions;
  }

  /** Handles a probe without an answer, direct or through one relay. */
  handleProbeFailure(
    probe: number,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const open = this.#openProbes.get(probe);
    if (open === undefined) {
      return [];
    }
    if (open.relaysLeft === null) {
      return this.#askRelays(probe, open, now);
    }
    open.relaysLeft -= 1;
    return open.relaysLeft > 0 ? [] : this.#suspect(probe, open.target, now);
  }

  /** Merges another daemon's full view. */
  mergeView(
    view: readonly IMemberUpdate[],
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    view.forEach((update) => this.#applyUpdate(update, now, actions));
    return actions;
  }

  /** Announces that this daemon leaves; send the probes before the exit. */
  leave(): readonly MembershipAction[] {
    this.#state = MemberState.Left;
    return this.spreadUpdates(LEAVE_FANOUT);
  }

  get #ownUpdate(): IMemberUpdate {
    return {
      member: this.#self,
      incarnation: this.#incarnation,
      state: this.#state,
    };
  }

  get #viewHash(): number {
    return (this.#table.viewHash ^ this.#selfHash) >>> 0;
  }

  #isZonePeer(member: IMember): boolean {
    return (
      member.zone === this.#self.zone && member.daemon !== this.#self.daemon
    );
  }

  #composeMessage(to: DaemonId): IMemberMessage {
    // A receiver that is not alive in this view gets that update first: it can
    // refute only what it receives, and would otherwise stay out of the view
    // although it answers.
    const known = this.#table.get(to);
    const isNotAlive = known !== undefined && known.state !== MemberState.Alive;
    return {
      from: this.#ownUpdate,
      viewHash: this.#viewHash,
      news: [...(isNotAlive ? [known] : []), ...this.#updates.takeNext()],
    };
  }

  #probe(target: IMember): MembershipAction {
    const probe = this.#nextProbe;
    this.#nextProbe += 1;
    this.#openProbes.set(probe, { target, relaysLeft: null });
    const message = this.#composeMessage(target.daemon);
    return { kind: MembershipActionKind.Probe, probe, target, message };
  }

  #applyMessage(
    message: IMemberMessage,
    now: MonotonicTime,
  ): MembershipAction[] {
    const actions: MembershipAction[] = [];
    this.#applyUpdate(message.from, now, actions);
    message.news.forEach((update) => this.#applyUpdate(update, now, actions));
    return actions;
  }

  #applyUpdate(
    update: IMemberUpdate,
    now: MonotonicTime,
    actions: MembershipAction[],
  ): void {
    if (update.member.daemon === this.#self.daemon) {
      this.#refute(update);
      return;
    }
    if (!this.#isZonePeer(update.member)) {
      return;
    }
    const before = this.#table.get(update.member.daemon);
    if (!this.#table.apply(update, now)) {
      return;
    }
    this.#contacts.delete(update.member.daemon);
    this.#updates.add(update, this.#table.live.length);
    const wasLive = before !== undefined && isLive(before.state);
    if (wasLive !== isLive(update.state)) {
      actions.push({ kind: MembershipActionKind.Changed });
    }
  }

  #refute(update: IMemberUpdate): void {
    const needsRefutation = update.state !== MemberState.Alive;
    if (needsRefutation && update.incarnation >= this.#incarnation) {
      this.#incarnation = update.incarnation + 1;
      this.#updates.add(this.#ownUpdate, this.#table.live.length);
    }
  }

  #declareOverdueDead(now: MonotonicTime): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const known of this.#table.live) {
      const isOverdue = now - known.since >= this.#timing.suspicion;
      if (known.state === MemberState.Suspect && isOverdue) {
        const { member, incarnation } = known;
        const state = MemberState.Dead;
        this.#applyUpdate({ member, incarnation, state }, now, actions);
        actions.push(...this.spreadUpdates(DETECTION_FANOUT));
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
      this.#openProbes.delete(probe);
      return [];
    }
    const relays = this.#sample(RELAYS_PER_PROBE, new Set([target.daemon]));
    if (relays.length === 0) {
      return this.#suspect(probe, target, now);
    }
    open.relaysLeft = relays.length;
    return relays.map((relay) => {
      const message = this.#composeMessage(target.daemon);
      const kind = MembershipActionKind.ProbeThrough;
      return { kind, probe, relay, target, message };
    });
  }

  #suspect(
    probe: number,
    target: IMember,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    this.#openProbes.delete(probe);
    const known = this.#table.get(target.daemon);
    const actions: MembershipAction[] = [];
    if (known?.state === MemberState.Alive) {
      const { incarnation } = known;
      const state = MemberState.Suspect;
      this.#applyUpdate({ member: target, incarnation, state }, now, actions);
      actions.push(...this.spreadUpdates(DETECTION_FANOUT));
    }
    return actions;
  }

  #synchronizeIfDiffering(
    target: IMember,
    now: MonotonicTime,
  ): readonly MembershipAction[] {
    const pause = this.#timing.period * PERIODS_PER_SYNCHRONIZATION;
    const isSoon = now - this.#lastSynchronized < pause;
    const isConsistent = this.#differingAnswers < MINIMUM_DIFFERING_ANSWERS;
    if (isConsistent || isSoon || !this.#isZonePeer(target)) {
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

  /** Each live member once in random order; then in a new random order. */
  #nextInRound(): IMember | null {
    for (;;) {
      const daemon = this.#probeRound.pop();
      if (daemon === undefined) {
        break;
      }
      if (this.#isLive(daemon)) {
        return this.#table.get(daemon)?.member ?? null;
      }
    }
    const { live } = this.#table;
    this.#probeRound = this.#shuffle(live.map(({ member }) => member.daemon));
    const first = this.#probeRound.pop();
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
    if (this.#periods % PERIODS_PER_DEAD_PROBE !== 0) {
      return null;
    }
    const dead = this.#table.all.filter(
      ({ state }) => state === MemberState.Dead,
    );
    return this.#pick(dead)?.member ?? null;
  }

  #nextContacts(): readonly IMember[] {
    const chosen = [...this.#contacts.values()].slice(0, CONTACTS_PER_PERIOD);
    for (const contact of chosen) {
      const { daemon } = contact.member;
      contact.attemptsLeft -= 1;
      // Moved to the end, so that silent contacts do not block the others.
      this.#contacts.delete(daemon);
      if (contact.attemptsLeft > 0) {
        this.#contacts.set(daemon, contact);
      }
    }
    return chosen.map(({ member }) => member);
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
