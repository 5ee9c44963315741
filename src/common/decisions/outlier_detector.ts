/**
 * Detects targets that are much slower than their peers and sets them aside. A
 * straggler passes its health checks but serves at a fraction of its speed, or
 * accepts requests and never answers. Without this, its share of the requests
 * makes up the slowest hundredth of the service's, and the 99th percentile is
 * far above the 95th.
 *
 * A target is compared with the median of its peers, never with a fixed time:
 * when all are slow together the cause is saturation and none is set aside. For
 * the same reason only a bounded share may be set aside. A target returns
 * through probation: it takes one request at a time until enough samples are on
 * time, and each further failure doubles the time for which it is set aside.
 *
 * Continuous batching makes a loaded target up to 2.5 times slower than an idle
 * one, which sets {@link SLOW_FACTOR}.
 */
import type { MonotonicTime } from "../types.ts";

/** Multiple of the peers' median time from which a target is slow. */
export const SLOW_FACTOR = 2.5;

/**
 * A target without any token for this multiple of the median time to the first
 * token is not answering.
 */
const SILENT_FACTOR = 4;

/** Least time without tokens before a target counts as silent, milliseconds. */
const SHORTEST_SILENCE = 1_000;

/** Samples needed before a target's speed is compared. */
const MINIMUM_SAMPLES = 8;

/**
 * Weight of the newest sample in the moving averages: about the last 16 count.
 */
const NEWEST_WEIGHT = 1 / 16;

/**
 * Largest share of a service's targets set aside; of two or more, one always
 * may be.
 */
export const MAX_SHARE_SET_ASIDE = 0.25;

/**
 * Time for which a target is first set aside, milliseconds; doubled each time
 * it fails probation.
 */
const FIRST_SET_ASIDE_TIME = 10_000;
const LONGEST_SET_ASIDE_TIME = 160_000;

/** Samples after which probation is passed. */
const PROBATION_SAMPLES = 24;

/** A request in flight, identified by object identity. */
export interface ISentRequest {
  readonly target: string;
  readonly sentAt: MonotonicTime;
}

/** Health of a target relative to its peers. */
export enum TargetHealth {
  InService = "in_service",
  SetAside = "set_aside",
  /** Accepts one request at a time. */
  Probation = "probation",
}

interface ITargetStatistics {
  health: TargetHealth;
  /** Moving average of the time between tokens, milliseconds. */
  tokenGap: number;
  tokenGapSamples: number;
  /** Moving average of the time to the first token, milliseconds. */
  firstToken: number;
  firstTokenSamples: number;
  /** When it last sent a token. */
  lastTokenAt: MonotonicTime;
  setAsideUntil: MonotonicTime;
  /** How long it is set aside the next time, milliseconds. */
  setAsideTime: number;
  /** Requests without a first token, in the order sent. */
  readonly unanswered: Set<ISentRequest>;
}

/** Detects outliers among the targets of one service. */
export class OutlierDetector {
  readonly #targets = new Map<string, ITargetStatistics>();
  #medianGap = 0;
  #medianFirst = 0;

  healthOf(target: string): TargetHealth {
    return this.#targets.get(target)?.health ?? TargetHealth.InService;
  }

  /** Time between its tokens as a multiple of the median; 1 if unknown. */
  paceOf(target: string): number {
    const statistics = this.#targets.get(target);
    if (
      !statistics ||
      statistics.tokenGapSamples < MINIMUM_SAMPLES ||
      !this.#medianGap
    ) {
      return 1;
    }
    return Math.max(1, statistics.tokenGap / this.#medianGap);
  }

  recordSent(request: ISentRequest): void {
    this.#statisticsOf(request.target).unanswered.add(request);
  }

  /** Stops waiting for a first token: the request has one, or has ended. */
  clearUnanswered(request: ISentRequest): void {
    this.#statisticsOf(request.target).unanswered.delete(request);
  }

  recordFirstToken(
    target: string,
    milliseconds: number,
    now: MonotonicTime,
  ): void {
    const statistics = this.#statisticsOf(target);
    statistics.lastTokenAt = now;
    statistics.firstToken = average(
      statistics.firstToken,
      milliseconds,
      statistics.firstTokenSamples,
    );
    statistics.firstTokenSamples += 1;
  }

  recordTokenGap(
    target: string,
    milliseconds: number,
    now: MonotonicTime,
  ): void {
    const statistics = this.#statisticsOf(target);
    statistics.lastTokenAt = now;
    statistics.tokenGap = average(
      statistics.tokenGap,
      milliseconds,
      statistics.tokenGapSamples,
    );
    statistics.tokenGapSamples += 1;
  }

  /** Compares the targets with one another. Call it about twice a second. */
  compare(targets: readonly string[], now: MonotonicTime): void {
    this.#removeOthers(targets);
    const compared = targets.map((target) => this.#statisticsOf(target));
    this.#medianGap = median(compared, "tokenGap");
    this.#medianFirst = median(compared, "firstToken");
    let outliers = compared.filter(
      (entry) => entry.health !== TargetHealth.InService,
    );
    const maximum = Math.max(
      1,
      Math.floor(targets.length * MAX_SHARE_SET_ASIDE),
    );
    for (const entry of compared) {
      const maySetAside = targets.length > 1 && outliers.length < maximum;
      this.#updateHealth(entry, now, maySetAside);
      outliers = compared.filter(
        ({ health }) => health !== TargetHealth.InService,
      );
    }
  }

  #updateHealth(
    entry: ITargetStatistics,
    now: MonotonicTime,
    maySetAside: boolean,
  ): void {
    const isOutlier = this.#isSlow(entry) || this.#isSilent(entry, now);
    if (entry.health === TargetHealth.InService && isOutlier && maySetAside) {
      this.#setAside(entry, now);
    } else if (entry.health === TargetHealth.SetAside) {
      if (now >= entry.setAsideUntil) {
        entry.health = TargetHealth.Probation;
        entry.tokenGapSamples = 0;
        entry.firstTokenSamples = 0;
      }
    } else if (entry.health === TargetHealth.Probation) {
      if (isOutlier) {
        entry.setAsideTime = Math.min(
          LONGEST_SET_ASIDE_TIME,
          entry.setAsideTime * 2,
        );
        this.#setAside(entry, now);
      } else if (entry.tokenGapSamples >= PROBATION_SAMPLES) {
        entry.health = TargetHealth.InService;
        entry.setAsideTime = FIRST_SET_ASIDE_TIME;
      }
    }
  }

  #setAside(entry: ITargetStatistics, now: MonotonicTime): void {
    entry.health = TargetHealth.SetAside;
    entry.setAsideUntil = now + entry.setAsideTime;
  }

  #isSlow(entry: ITargetStatistics): boolean {
    const isKnown =
      entry.tokenGapSamples >= MINIMUM_SAMPLES && this.#medianGap > 0;
    return isKnown && entry.tokenGap > this.#medianGap * SLOW_FACTOR;
  }

  /**
   * A target that still sends tokens for other requests is loaded, not silent.
   */
  #isSilent(entry: ITargetStatistics, now: MonotonicTime): boolean {
    const [oldest] = entry.unanswered;
    if (oldest === undefined) {
      return false;
    }
    const bound = this.#medianFirst * SILENT_FACTOR;
    const silentSince = Math.max(oldest.sentAt, entry.lastTokenAt);
    return now - silentSince > Math.max(SHORTEST_SILENCE, bound);
  }

  #removeOthers(targets: readonly string[]): void {
    if (this.#targets.size <= targets.length) {
      return;
    }
    const known = new Set(targets);
    for (const target of this.#targets.keys()) {
      if (!known.has(target)) {
        this.#targets.delete(target);
      }
    }
  }

  #statisticsOf(target: string): ITargetStatistics {
    let statistics = this.#targets.get(target);
    if (statistics === undefined) {
      statistics = {
        health: TargetHealth.InService,
        tokenGap: 0,
        tokenGapSamples: 0,
        firstToken: 0,
        firstTokenSamples: 0,
        lastTokenAt: 0,
        setAsideUntil: 0,
        setAsideTime: FIRST_SET_ASIDE_TIME,
        unanswered: new Set(),
      };
      this.#targets.set(target, statistics);
    }
    return statistics;
  }
}

function average(before: number, newest: number, samples: number): number {
  const weight = Math.max(NEWEST_WEIGHT, 1 / (samples + 1));
  return before + (newest - before) * weight;
}

function median(
  compared: readonly ITargetStatistics[],
  field: "tokenGap" | "firstToken",
): number {
  const known = compared
    .map((entry) => entry[field])
    .filter((value) => value > 0)
    .sort((one, other) => one - other);
  return known[Math.floor((known.length - 1) / 2)] ?? 0;
}
