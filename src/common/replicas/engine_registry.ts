/**
 * What the lease holder knows of each engine: the platform's entry, its newest
 * report, and whether it still answers.
 *
 * An engine is silent after {@link MISSES_TO_SILENCE} reports in a row that
 * were not answered, each on a connection of its own. When a large share of
 * the engines falls silent together, the cause is more likely this process's
 * own link, and nothing is concluded; one would otherwise give up every group
 * because one cable is out.
 *
 * The same holds for a zone. The members of a suspected group are asked often
 * and fall silent first when their zone is cut off; given up then, before the
 * rest of the zone was asked, the zone's callers would be without their groups
 * for as long as the cut lasts and until new ones stand. So a silence counts
 * once some engine of the zone has answered since, and the others are asked at
 * once to find out.
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

/** Unanswered reports in a row that make an engine silent. */
const MISSES_TO_SILENCE = 2;

/** Share of the answering engines whose silence is put down to this process. */
const OWN_LINK_SHARE = 0.4;

/** Share of each domain of a zone whose silence means that the zone is cut. */
const CUT_OFF_SHARE = 0.6;

/** Domains that a zone must have for that: one may go dark by itself. */
const MIN_DOMAINS = 2;

/** An engine as seen at one moment. */
export interface IEngineView {
  readonly target: IListedTarget;
  readonly isListed: boolean;
  readonly isDraining: boolean;
  /** Null before the first report. */
  readonly state: IEngineState | null;
  /** When the newest report was asked for. */
  readonly askedAt: MonotonicTime;
  /** When it last answered; when it was first listed before that. */
  readonly answeredAt: MonotonicTime;
  readonly isSilent: boolean;
  /**
   * Its whole zone does not answer here, or may not. It may well serve its own
   * zone, so its silence proves nothing.
   */
  readonly isUnreachable: boolean;
  /** Start of the process that gave the newest report. */
  readonly startedAt: number;
  /** Factor on its times, by its newest report; 1 before the first. */
  readonly pace: number;
}

interface IKnownEngine {
  target: IListedTarget;
  isListed: boolean;
  state: IEngineState | null;
  askedAt: MonotonicTime;
  answeredAt: MonotonicTime;
  misses: number;
  /** When the report was asked for whose miss made it silent. */
  silentAt: MonotonicTime;
  startedAt: number;
  pace: number;
}

/** The engines of one service. */
export class EngineRegistry {
  readonly #engines = new Map<InstanceId, IKnownEngine>();
  readonly #forgetAfter: number;
  #cutOff: ReadonlySet<ZoneName> = new Set();
  /** Zones that may be cut off: none of their engines was heard since. */
  #doubtfulZones: ReadonlySet<ZoneName> = new Set();
  /** When the newest answered report of each zone was asked for. */
  readonly #zoneAnsweredAt = new Map<ZoneName, MonotonicTime>();

  /** @param forgetAfter - milliseconds after which a gone engine is dropped */
  constructor(forgetAfter: number) {
    this.#forgetAfter = forgetAfter;
  }

  /** The platform's list, whole. */
  updateTargets(targets: readonly IListedTarget[], now: MonotonicTime): void {
    const present = new Set<InstanceId>();
    for (const target of targets) {
      present.add(target.id);
      this.#update(target, now);
    }
    for (const [id, engine] of this.#engines) {
      engine.isListed = present.has(id);
      const isOld = now - engine.answeredAt > this.#forgetAfter;
      if (!engine.isListed && isOld) {
        this.#engines.delete(id);
      }
    }
    this.#updateCutOffZones();
    this.#doubtfulZones = this.#findDoubtfulZones();
  }

  recordReport(
    id: InstanceId,
    report: IEngineReport,
    times: { readonly askedAt: MonotonicTime; readonly now: MonotonicTime },
  ): void {
    const engine = this.#engines.get(id);
    if (engine === undefined || times.askedAt < engine.askedAt) {
      return;
    }
    engine.state = report.engine;
    engine.startedAt = report.startedAt;
    engine.pace = report.pace;
    engine.askedAt = times.askedAt;
    engine.answeredAt = times.now;
    engine.misses = 0;
    const { zone } = engine.target;
    const zoneHeardAt = this.#zoneAnsweredAt.get(zone) ?? times.askedAt;
    this.#zoneAnsweredAt.set(zone, Math.max(zoneHeardAt, times.askedAt));
    this.#doubtfulZones = this.#findDoubtfulZones();
  }

  /** A report that was asked for at a time was not answered. */
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

  /** Whether an engine should be asked again soon, to tell who is silent. */
  needsRecheck(id: InstanceId): boolean {
    const engine = this.#engines.get(id);
    if (engine === undefined || isSilent(engine)) {
      return false;
    }
    return engine.misses > 0 || this.#doubtfulZones.has(engine.target.zone);
  }

  /** Whether so many are silent that this process's link is the likely cause. */
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
        isDraining: engine.target.state === ListedState.Draining,
        state: engine.state,
        askedAt: engine.askedAt,
        answeredAt: engine.answeredAt,
        isSilent: isSilent(engine),
        isUnreachable: isSilent(engine) && !this.#isZoneReachable(engine),
        startedAt: engine.startedAt,
        pace: engine.pace,
      });
    }
    return views;
  }

  #isZoneReachable({ target: { zone } }: IKnownEngine): boolean {
    return !this.#cutOff.has(zone) && !this.#doubtfulZones.has(zone);
  }

  /**
   * Zones with a silent engine of which no engine was heard since, and some
   * are yet to be asked. Once all of them are silent, the zone is cut off or
   * its one domain has gone dark.
   */
  #findDoubtfulZones(): ReadonlySet<ZoneName> {
    const unheard = new Set<ZoneName>();
    const unasked = new Set<ZoneName>();
    for (const engine of this.#engines.values()) {
      const { zone } = engine.target;
      const heardAt =
        this.#zoneAnsweredAt.get(zone) ?? Number.NEGATIVE_INFINITY;
      if (isSilent(engine) && heardAt < engine.silentAt) {
        unheard.add(zone);
      } else if (!isSilent(engine) && engine.isListed && engine.state) {
        unasked.add(zone);
      }
    }
    return new Set([...unheard].filter((zone) => unasked.has(zone)));
  }

  /**
   * Looks anew at which zones are cut off. The engines of one that is back are
   * given time to answer: their old silence proves nothing.
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

  /** Zones of which most engines of each domain fell silent. */
  #findCutOffZones(): ReadonlySet<ZoneName> {
    const zones = new Map<ZoneName, Map<DomainName, IKnownEngine[]>>();
    for (const engine of this.#engines.values()) {
      if (engine.state !== null) {
        const { zone } = engine.target;
        const domains =
          zones.get(zone) ?? new Map<DomainName, IKnownEngine[]>();
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

  #update(target: IListedTarget, now: MonotonicTime): void {
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
      });
      return;
    }
    known.target = target;
    known.isListed = true;
  }
}

function isSilent(engine: IKnownEngine): boolean {
  return engine.misses >= MISSES_TO_SILENCE;
}
