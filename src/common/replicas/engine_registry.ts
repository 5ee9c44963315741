/**
 * The lease holder's view of each engine: the platform's entry, its latest
 * report, and whether it still answers.
 *
 * An engine is silent after {@link MISSES_TO_SILENCE} consecutive reports that
 * were not answered, each on a connection of its own. When a large share of the
 * engines becomes silent together, this process's own link is the more likely
 * cause and nothing is concluded; otherwise one broken cable would cause every
 * group to be abandoned.
 *
 * The same applies to a zone. The members of a suspected group are polled often
 * and become silent first when their zone is cut off. If they were abandoned
 * before the rest of the zone was polled, the zone's callers would have no
 * groups for as long as the cut lasts and until new ones are formed. So a
 * silence counts only once another engine of the zone has answered since, and
 * the others are polled at once to find out.
 */
import type { IEngineState, IListedTarget } from "../calls/types.ts";
import { ListedState } from "../calls/types.ts";
import type {
  DomainName,
  InstanceId,
  MonotonicTime,
  ZoneName,
} from "../types.ts";
import type { IEngineReport } from "./types.ts";

/** Consecutive unanswered reports that make an engine silent. */
const MISSES_TO_SILENCE = 2;

/**
 * Share of the engines that once answered whose silence is attributed to this
 * process's own link.
 */
const OWN_LINK_SHARE = 0.4;

/**
 * Share of silent engines in each domain of a zone that means the zone is cut
 * off.
 */
const CUT_OFF_SHARE = 0.6;

/** Minimum number of domains in such a zone, since one may fail by itself. */
const MIN_DOMAINS = 2;

/** Start of an engine on a platform that does not publish it. */
const UNKNOWN_START = 0;

/** State of an engine at one moment. */
export interface IEngineView {
  readonly target: IListedTarget;
  readonly isListed: boolean;
  /** By the list, or by its latest report. */
  readonly isDraining: boolean;
  /** Null before the first report. */
  readonly state: IEngineState | null;
  /** When the latest report was requested, less its age. */
  readonly askedAt: MonotonicTime;
  /** When it last answered, or was first listed if it has not answered. */
  readonly answeredAt: MonotonicTime;
  readonly isSilent: boolean;
  /**
   * It is silent, and its whole zone is or may be cut off from this process. It
   * may still serve its own zone, so its silence proves nothing.
   */
  readonly isUnreachable: boolean;
  /** Start of the process that gave the latest report, in calendar ms. */
  readonly startedAt: number;
  /**
   * Whether the latest report is certainly of the run that the platform lists
   * under this id. Reports carry no id, and whoever listens at the address
   * answers: another engine, or a later run of this one.
   */
  readonly isConfirmed: boolean;
  /** Multiplier on its times, by its latest report; 1 before the first. */
  readonly pace: number;
  /** Orders that it has begun, by its latest report; 0 before the first. */
  readonly orderCount: number;
}

interface ITrackedEngine {
  target: IListedTarget;
  isListed: boolean;
  state: IEngineState | null;
  askedAt: MonotonicTime;
  answeredAt: MonotonicTime;
  misses: number;
  /** Request time of the unanswered report that made it silent. */
  silentAt: MonotonicTime;
  startedAt: number;
  pace: number;
  orderCount: number;
  /** Whether its latest report says that it is about to leave. */
  isLeaving: boolean;
}

/** Tracks the engines of one service. */
export class EngineRegistry {
  readonly #engines = new Map<InstanceId, ITrackedEngine>();
  readonly #forgetAfter: number;
  #cutOff: ReadonlySet<ZoneName> = new Set();
  /**
   * Zones that may be cut off: none of their engines has answered since one
   * became silent.
   */
  #doubtfulZones: ReadonlySet<ZoneName> = new Set();
  /** Addresses under which more than one engine is listed. */
  #sharedAddresses: ReadonlySet<string> = new Set();
  /** Request time of the latest answered report of each zone. */
  readonly #zoneAnsweredAt = new Map<ZoneName, MonotonicTime>();

  /**
   * @param forgetAfter - milliseconds after which an engine that is gone is
   *   removed
   */
  constructor(forgetAfter: number) {
    this.#forgetAfter = forgetAfter;
  }

  /** Applies the platform's full list. */
  updateTargets(targets: readonly IListedTarget[], now: MonotonicTime): void {
    const present = new Set<InstanceId>();
    for (const target of targets) {
      present.add(target.id);
      this.#updateTarget(target, now);
    }
    for (const [id, engine] of this.#engines) {
      engine.isListed = present.has(id);
      const isOld = now - engine.answeredAt > this.#forgetAfter;
      if (!engine.isListed && isOld) {
        this.#engines.delete(id);
      }
    }
    this.#sharedAddresses = this.#findSharedAddresses();
    this.#updateCutOffZones();
    this.#doubtfulZones = this.#findDoubtfulZones();
  }

  recordReport(
    id: InstanceId,
    report: IEngineReport,
    times: { readonly askedAt: MonotonicTime; readonly now: MonotonicTime },
  ): void {
    const engine = this.#engines.get(id);
    const asOf = times.askedAt - report.age;
    if (engine === undefined || asOf < engine.askedAt) {
      return;
    }
    engine.state = report.engine;
    engine.startedAt = report.startedAt;
    engine.pace = report.pace;
    engine.orderCount = report.orderCount;
    engine.isLeaving = report.isLeaving;
    engine.askedAt = asOf;
    engine.answeredAt = times.now;
    engine.misses = 0;
    const { zone } = engine.target;
    const zoneAnsweredAt = this.#zoneAnsweredAt.get(zone) ?? times.askedAt;
    this.#zoneAnsweredAt.set(zone, Math.max(zoneAnsweredAt, times.askedAt));
    this.#doubtfulZones = this.#findDoubtfulZones();
  }

  /** Records that a report requested at a given time was not answered. */
  recordMiss(id: InstanceId, askedAt: MonotonicTime): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) {
      return;
    }
    engine.misses += 1;
    if (engine.misses === MISSES_TO_SILENCE) {
      engine.silentAt = askedAt;
    }
    this.#doubtfulZones = this.#findDoubtfulZones();
  }

  /**
   * Whether an engine should be polled again soon to determine which are
   * silent.
   */
  needsRecheck(id: InstanceId): boolean {
    const engine = this.#engines.get(id);
    if (engine === undefined || isSilent(engine)) {
      return false;
    }
    return engine.misses > 0 || this.#doubtfulZones.has(engine.target.zone);
  }

  /**
   * Whether so many engines are silent that this process's link is the likely
   * cause.
   */
  get isOwnLinkSuspect(): boolean {
    const answered = [...this.#engines.values()].filter(
      ({ state, isListed }) => state !== null && isListed,
    );
    const silent = answered.filter(isSilent).length;
    return silent > answered.length * OWN_LINK_SHARE;
  }

  get views(): ReadonlyMap<InstanceId, IEngineView> {
    const views = new Map<InstanceId, IEngineView>();
    for (const [id, engine] of this.#engines) {
      views.set(id, {
        target: engine.target,
        isListed: engine.isListed,
        isDraining:
          engine.isLeaving || engine.target.state === ListedState.Draining,
        state: engine.state,
        askedAt: engine.askedAt,
        answeredAt: engine.answeredAt,
        isSilent: isSilent(engine),
        isUnreachable: isSilent(engine) && !this.#isZoneReachable(engine),
        startedAt: engine.startedAt,
        isConfirmed: this.#isConfirmed(engine),
        pace: engine.pace,
        orderCount: engine.orderCount,
      });
    }
    return views;
  }

  #isConfirmed({ target, startedAt, state }: ITrackedEngine): boolean {
    if (state === null) {
      return false;
    }
    const isStartKnown =
      target.startedAt !== UNKNOWN_START && startedAt !== UNKNOWN_START;
    return isStartKnown
      ? startedAt === target.startedAt
      : !this.#sharedAddresses.has(target.address);
  }

  /** Finds addresses under which more than one engine is listed. */
  #findSharedAddresses(): ReadonlySet<string> {
    const addresses = new Set<string>();
    const shared = new Set<string>();
    for (const { target, isListed } of this.#engines.values()) {
      if (isListed && addresses.has(target.address)) {
        shared.add(target.address);
      } else if (isListed) {
        addresses.add(target.address);
      }
    }
    return shared;
  }

  #isZoneReachable({ target: { zone } }: ITrackedEngine): boolean {
    return !this.#cutOff.has(zone) && !this.#doubtfulZones.has(zone);
  }

  /**
   * Zones with a silent engine in which no engine has answered since and some
   * have yet to be polled. Once all of them are silent, the zone is cut off or
   * its only domain has failed.
   */
  #findDoubtfulZones(): ReadonlySet<ZoneName> {
    const silentZones = new Set<ZoneName>();
    const zonesToPoll = new Set<ZoneName>();
    for (const engine of this.#engines.values()) {
      const { zone } = engine.target;
      const answeredAt =
        this.#zoneAnsweredAt.get(zone) ?? Number.NEGATIVE_INFINITY;
      if (isSilent(engine) && answeredAt < engine.silentAt) {
        silentZones.add(zone);
      } else if (!isSilent(engine) && engine.isListed && engine.state) {
        zonesToPoll.add(zone);
      }
    }
    return new Set([...silentZones].filter((zone) => zonesToPoll.has(zone)));
  }

  /**
   * Updates which zones are cut off. The engines of a zone that is back get
   * time to answer, since their earlier silence proves nothing.
   */
  #updateCutOffZones(): void {
    const before = this.#cutOff;
    this.#cutOff = this.#findCutOffZones();
    for (const engine of this.#engines.values()) {
      const { zone } = engine.target;
      if (before.has(zone) && !this.#cutOff.has(zone)) {
        engine.misses = 0;
      }
    }
  }

  /** Finds zones in which most engines of each domain are silent. */
  #findCutOffZones(): ReadonlySet<ZoneName> {
    const zones = new Map<ZoneName, Map<DomainName, ITrackedEngine[]>>();
    for (const engine of this.#engines.values()) {
      if (engine.state !== null) {
        const { zone } = engine.target;
        const domains =
          zones.get(zone) ?? new Map<DomainName, ITrackedEngine[]>();
        const { domain } = engine.state;
        domains.set(domain, [...(domains.get(domain) ?? []), engine]);
        zones.set(zone, domains);
      }
    }
    const cutOff = [...zones].filter(
      ([, domains]) =>
        domains.size >= MIN_DOMAINS &&
        [...domains.values()].every(
          (engines) =>
            engines.filter(isSilent).length >= engines.length * CUT_OFF_SHARE,
        ),
    );
    return new Set(cutOff.map(([zone]) => zone));
  }

  #updateTarget(target: IListedTarget, now: MonotonicTime): void {
    const known = this.#engines.get(target.id);
    if (known === undefined) {
      this.#engines.set(target.id, {
        target,
        isListed: true,
        state: null,
        askedAt: Number.NEGATIVE_INFINITY,
        answeredAt: now,
        misses: 0,
        silentAt: Number.NEGATIVE_INFINITY,
        startedAt: target.startedAt,
        pace: 1,
        orderCount: 0,
        isLeaving: false,
      });
      return;
    }
    known.target = target;
    known.isListed = true;
  }
}

function isSilent(engine: ITrackedEngine): boolean {
  return engine.misses >= MISSES_TO_SILENCE;
}
