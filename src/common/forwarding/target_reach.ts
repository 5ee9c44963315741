/**
 * Finds out whether this process itself has lost its path to the targets of a
 * service. Otherwise what it sees is taken for the state of the targets: all of
 * them look lost, and callers are refused although other processes serve.
 *
 * Targets that fail one by one say nothing about the path. If several fail and
 * hardly another one answers, some targets of each zone are probed on new
 * connections. Only if none of them answers is the service out of reach. A
 * process that gets too little processor time has not read the answers, which
 * proves nothing: forwarding would only add to the load. While a service is out
 * of reach, probes of two targets at a time find out when the path is back, so
 * that no caller's request has to.
 */
import type { IListedTarget } from "../calls/types.ts";
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IRandom } from "../services/services.ts";
import type {
  InstanceId,
  MonotonicTime,
  ServiceName,
  ZoneName,
} from "../types.ts";
import type { ITargetProber } from "./types.ts";

/** Failed targets from which a path is in doubt, and answers that end it. */
const FEWEST_TARGETS = 2;

/** Failures that are further apart have no common cause, milliseconds. */
const FAILURE_LIFETIME = 1_500;

/** Fewest targets that are probed to decide a doubt, over all zones. */
const SURVEY_SIZE = 6;

/** Milliseconds; longer than a round trip with a retransmission. */
const PROBE_TIMEOUT = 300;

/**
 * First and longest pause after surveys in a row that found the targets in
 * reach, milliseconds. Targets that are only slow must not be slowed by probes.
 */
const FIRST_SURVEY_PAUSE = 300;
const LONGEST_SURVEY_PAUSE = 1_200;

/** Time without a survey after which pauses are short again, milliseconds. */
const CALM_TIME = 5_000;

/** Interval of the ticks that show the processor time of a survey, ms. */
const TICK_PERIOD = 20;

/** Share of the ticks that a process with enough processor time gets. */
const FEWEST_TICKS_SHARE = 0.5;

/** How long the result of a survey is used again, milliseconds. */
const SURVEY_LIFETIME = 150;

/** Share of the probed targets whose answers confirm a path. */
const CONFIRMING_SHARE = 0.5;

/** Time between two probes of a path that is lost, milliseconds. */
const RECOVERY_PERIOD = 300;

/** How long the answer to a probe counts for the return, milliseconds. */
const ANSWER_LIFETIME = 1_000;

enum ReachState {
  Reached = "reached",
  /** Targets are being probed. */
  InDoubt = "in_doubt",
  OutOfReach = "out_of_reach",
}

interface ISurvey {
  readonly startedAt: MonotonicTime;
  /** Resolves with whether the path works for most targets. */
  readonly isConfirmed: Promise<boolean>;
}

interface IServiceReach {
  state: ReachState;
  /** The latest survey; null before the first. */
  survey: ISurvey | null;
  /** When each target last failed to answer. */
  readonly failures: Map<InstanceId, MonotonicTime>;
  /** Targets that have answered since the first of these failures. */
  readonly answers: Set<InstanceId>;
  surveyAfter: MonotonicTime;
  surveyPause: number;
  /** When the path was lost. */
  lostAt: MonotonicTime;
  /** While out of reach, when each target last answered a probe. */
  readonly probeAnswers: Map<InstanceId, MonotonicTime>;
  recoveryTimer: IDisposable | null;
  /** Called when the doubt is decided. */
  waiting: (() => void)[];
}

/** Dependencies of {@link TargetReach}. */
export interface ITargetReachParts {
  readonly prober: ITargetProber;
  /** The listed targets of a service that accept new calls. */
  readonly readyTargets: (service: ServiceName) => readonly IListedTarget[];
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly zone: ZoneName;
  /** Called when a service has become out of reach. */
  readonly onLost: (service: ServiceName) => void;
}

/** The paths of one process to the targets of all services. */
export class TargetReach implements IDisposable {
  readonly #parts: ITargetReachParts;
  readonly #services = new Map<ServiceName, IServiceReach>();

  constructor(parts: ITargetReachParts) {
    this.#parts = parts;
  }

  /** Services whose targets are out of reach. */
  get outOfReach(): readonly ServiceName[] {
    return [...this.#services]
      .filter(([, { state }]) => state === ReachState.OutOfReach)
      .map(([service]) => service);
  }

  isOutOfReach(service: ServiceName): boolean {
    return this.#services.get(service)?.state === ReachState.OutOfReach;
  }

  /**
   * Calls back once a doubt about a service is decided; returns false if there
   * is none.
   */
  waitForDecision(service: ServiceName, callback: () => void): boolean {
    const reach = this.#services.get(service);
    if (reach?.state !== ReachState.InDoubt) {
      return false;
    }
    reach.waiting.push(callback);
    return true;
  }

  /** A target has sent a response, or part of one. */
  recordAnswer(service: ServiceName, target: InstanceId): void {
    const reach = this.#services.get(service);
    if (reach === undefined || reach.failures.size === 0) {
      return;
    }
    reach.failures.delete(target);
    reach.answers.add(target);
  }

  /** A target could not be reached, or did not answer in time. */
  recordNoAnswer(service: ServiceName, target: InstanceId): void {
    const reach = this.#reachOf(service);
    if (reach.state !== ReachState.Reached) {
      return;
    }
    const now = this.#now;
    for (const [failed, at] of reach.failures) {
      if (now - at > FAILURE_LIFETIME) {
        reach.failures.delete(failed);
      }
    }
    if (reach.failures.size === 0) {
      reach.answers.clear();
    }
    reach.answers.delete(target);
    reach.failures.set(target, now);
    const { failures, answers, surveyAfter } = reach;
    const isSuspicious =
      failures.size >= this.#fewestTargets(service) &&
      failures.size > answers.size;
    if (isSuspicious && now >= surveyAfter) {
      this.#startSurvey(service, reach);
    }
  }

  /**
   * Whether this process reaches most targets of a service now. Only then does
   * the silence of one of them say something about it.
   */
  confirm(service: ServiceName): Promise<boolean> {
    const reach = this.#reachOf(service);
    if (reach.state === ReachState.OutOfReach) {
      return Promise.resolve(false);
    }
    const { survey } = reach;
    const isRecent =
      survey !== null && this.#now - survey.startedAt < SURVEY_LIFETIME;
    return isRecent || reach.state === ReachState.InDoubt
      ? (survey?.isConfirmed ?? Promise.resolve(false))
      : this.#startSurvey(service, reach);
  }

  dispose(): void {
    for (const reach of this.#services.values()) {
      reach.recoveryTimer?.dispose();
    }
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #fewestTargets(service: ServiceName): number {
    return Math.min(FEWEST_TARGETS, this.#parts.readyTargets(service).length);
  }

  #startSurvey(service: ServiceName, reach: IServiceReach): Promise<boolean> {
    const isConfirmed = this.#survey(service, reach);
    reach.survey = { startedAt: this.#now, isConfirmed };
    return isConfirmed;
  }

  /** Probes targets of all zones to find out whose fault the failures are. */
  async #survey(service: ServiceName, reach: IServiceReach): Promise<boolean> {
    reach.state = ReachState.InDoubt;
    this.#parts.log.warn("targets_unanswered", {
      service,
      failed: reach.failures.size,
      answered: reach.answers.size,
    });
    const targets = this.#sampleOfZones(service);
    const { answers, isStarved } = await this.#probeWithTicks(targets);
    const answered = answers.filter(Boolean).length;
    const isLost = targets.length > 0 && answered === 0 && !isStarved;
    reach.failures.clear();
    reach.answers.clear();
    if (isLost) {
      this.#handleLost(service, reach);
    } else {
      reach.state = ReachState.Reached;
      this.#lengthenPause(reach);
    }
    this.#parts.log.warn(isLost ? "targets_lost" : "targets_answered", {
      service,
      probed: targets.length,
      answered,
      is_starved: isStarved,
    });
    const { waiting } = reach;
    reach.waiting = [];
    waiting.forEach((callback) => callback());
    return answered > targets.length * CONFIRMING_SHARE;
  }

  #lengthenPause(reach: IServiceReach): void {
    const isCalm = this.#now - reach.surveyAfter > CALM_TIME;
    reach.surveyPause = isCalm
      ? FIRST_SURVEY_PAUSE
      : Math.min(LONGEST_SURVEY_PAUSE, 2 * reach.surveyPause);
    reach.surveyAfter = this.#now + reach.surveyPause;
  }

  #handleLost(service: ServiceName, reach: IServiceReach): void {
    reach.state = ReachState.OutOfReach;
    reach.lostAt = this.#now;
    reach.probeAnswers.clear();
    reach.recoveryTimer = this.#parts.clock.every(
      RECOVERY_PERIOD,
      () => void this.#probeForReturn(service, reach),
    );
    this.#parts.onLost(service);
  }

  async #probeForReturn(
    service: ServiceName,
    reach: IServiceReach,
  ): Promise<void> {
    const targets = this.#pairOfTargets(service);
    const answers = await this.#probeAll(targets);
    if (reach.state !== ReachState.OutOfReach) {
      return;
    }
    const now = this.#now;
    targets.forEach(({ id }, index) => {
      if (answers[index]) {
        reach.probeAnswers.set(id, now);
      } else {
        reach.probeAnswers.delete(id);
      }
    });
    for (const [id, at] of reach.probeAnswers) {
      if (now - at > ANSWER_LIFETIME) {
        reach.probeAnswers.delete(id);
      }
    }
    if (reach.probeAnswers.size >= this.#fewestTargets(service)) {
      this.#handleReturn(service, reach);
    }
  }

  #handleReturn(service: ServiceName, reach: IServiceReach): void {
    reach.state = ReachState.Reached;
    reach.surveyAfter = this.#now;
    reach.recoveryTimer?.dispose();
    reach.recoveryTimer = null;
    const away_ms = Math.round(this.#now - reach.lostAt);
    this.#parts.log.info("targets_regained", { service, away_ms });
  }

  #probeAll(targets: readonly IListedTarget[]): Promise<readonly boolean[]> {
    return Promise.all(
      targets.map((target) => this.#parts.prober.probe(target, PROBE_TIMEOUT)),
    );
  }

  /** Probes targets, and tells whether this process could read their answers. */
  async #probeWithTicks(targets: readonly IListedTarget[]): Promise<{
    readonly answers: readonly boolean[];
    readonly isStarved: boolean;
  }> {
    const startedAt = this.#now;
    let ticks = 0;
    const ticking = this.#parts.clock.every(TICK_PERIOD, () => (ticks += 1));
    const answers = await this.#probeAll(targets);
    ticking.dispose();
    const elapsed = this.#now - startedAt;
    // Targets that refuse do so at once, and are read even by a slow process.
    const hasTimedOut = elapsed >= PROBE_TIMEOUT;
    const fewestTicks = (elapsed / TICK_PERIOD) * FEWEST_TICKS_SHARE;
    return { answers, isStarved: hasTimedOut && ticks < fewestTicks };
  }

  /** Some targets of each zone, in random order. */
  #sampleOfZones(service: ServiceName): readonly IListedTarget[] {
    const zones = new Map<ZoneName, IListedTarget[]>();
    for (const target of this.#shuffled(service)) {
      const known = zones.get(target.zone) ?? [];
      zones.set(target.zone, [...known, target]);
    }
    const perZone = Math.ceil(SURVEY_SIZE / Math.max(1, zones.size));
    return [...zones.values()].flatMap((one) => one.slice(0, perZone));
  }

  /** One target of the process's own zone and one of another, if it can. */
  #pairOfTargets(service: ServiceName): readonly IListedTarget[] {
    const targets = this.#shuffled(service);
    const isOwn = ({ zone }: IListedTarget) => zone === this.#parts.zone;
    const own = targets.filter(isOwn);
    const others = targets.filter((target) => !isOwn(target));
    const first = own[0] ?? others[1];
    const second = others[0] ?? own[1];
    return [first, second].filter((target) => target !== undefined);
  }

  #shuffled(service: ServiceName): readonly IListedTarget[] {
    const { random, readyTargets } = this.#parts;
    return readyTargets(service)
      .map((target) => ({ target, order: random.next() }))
      .sort((left, right) => left.order - right.order)
      .map(({ target }) => target);
  }

  #reachOf(service: ServiceName): IServiceReach {
    let reach = this.#services.get(service);
    if (reach === undefined) {
      reach = {
        state: ReachState.Reached,
        survey: null,
        failures: new Map(),
        answers: new Set(),
        surveyAfter: Number.NEGATIVE_INFINITY,
        surveyPause: FIRST_SURVEY_PAUSE,
        lostAt: 0,
        probeAnswers: new Map(),
        recoveryTimer: null,
        waiting: [],
      };
      this.#services.set(service, reach);
    }
    return reach;
  }
}
