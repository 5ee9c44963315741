/**
 * Setting aside a target that is much slower than its peers. Pattern of load:
 * a straggler keeps its health checks but serves at a fraction of its speed,
 * or accepts and never answers. Without this its share of the requests is the
 * service's slowest hundredth; one would notice by a 99th that stands far
 * above the 95th.
 *
 * A target is compared with the median of its peers, never with a fixed time:
 * when all are slow together, saturation is the cause and nobody is set aside.
 * Only a bounded share may be set aside, for the same reason. It comes back by
 * probation: one request at a time until some were in time; each time it
 * fails again it stays away for longer.
 *
 * Thresholds: continuous batching makes a loaded target up to 2.5 times slower
 * than an idle one, so a target must be slower than {@link SLOW_FACTOR}.
 */
import type { MonotonicTime } from "../types.ts";

/** Multiple of the peers' median time from which a target is slow. */
export const SLOW_FACTOR = 2.5;

/** Multiple of the median first token's time without any: not answering. */
const SILENT_FACTOR = 4;

/** No target is silent before this, milliseconds. */
const SHORTEST_SILENCE = 1_000;

/** Samples without which a target is not judged. */
const MINIMUM_SAMPLES = 8;

/** Weight of the newest sample: about the last 16 count. */
const NEWEST_WEIGHT = 1 / 16;

/** Largest share of a service set aside; a single one of two or more may be. */
export const MAX_SHARE_SET_ASIDE = 0.25;

/** First time away, milliseconds; doubled on each return that fails. */
const FIRST_TIME_AWAY = 10_000;
const LONGEST_TIME_AWAY = 160_000;

/** In-time samples by which probation is passed. */
const PROBATION_SAMPLES = 24;

/** A request on its way; known by identity. */
export interface ISentRequest {
  readonly target: string;
  readonly sentAt: MonotonicTime;
}

/** Where a target stands. */
export enum TargetHealth {
  InService = "in_service",
  SetAside = "set_aside",
  /** Takes one request at a time. */
  Probation = "probation",
}

interface ITargetStatistics {
  health: TargetHealth;
  tokenGap: number;
  tokenGapSamples: number;
  firstToken: number;
  firstTokenSamples: number;
  /** When any token came from it. */
  lastTokenAt: MonotonicTime;
  awayUntil: MonotonicTime;
  timeAway: number;
  /** Requests without a first token, in the order they were sent. */
  readonly unanswered: Set<ISentRequest>;
}

/** Watches the targets of one service. */
export class OutlierDetector {
  readonly #targets = new Map<string, ITargetStatistics>();
  #medianGap = 0;
  #medianFirst = 0;

  healthOf(target: string): TargetHealth {
    return this.#targets.get(target)?.health ?? TargetHealth.InService;
  }

  /** Time between its tokens as a multiple of the median; 1 if not known. */
  paceOf(target: string): number {
    const watched = this.#targets.get(target);
    if (
      !watched ||
      watched.tokenGapSamples < MINIMUM_SAMPLES ||
      !this.#medianGap
    ) {
      return 1;
    }
    return Math.max(1, watched.tokenGap / this.#medianGap);
  }

  /** A request was sent. */
  recordSent(request: ISentRequest): void {
    this.#watchedOf(request.target).unanswered.add(request);
  }

  /** A request has its first token, or has ended without one. */
  clearUnanswered(request: ISentRequest): void {
    this.#watchedOf(request.target).unanswered.delete(request);
  }

  recordFirstToken(
    target: string,
    milliseconds: number,
    now: MonotonicTime,
  ): void {
    const watched = this.#watchedOf(target);
    watched.lastTokenAt = now;
    watched.firstToken = average(
      watched.firstToken,
      milliseconds,
      watched.firstTokenSamples,
    );
    watched.firstTokenSamples += 1;
  }

  recordTokenGap(
    target: string,
    milliseconds: number,
    now: MonotonicTime,
  ): void {
    const watched = this.#watchedOf(target);
    watched.lastTokenAt = now;
    watched.tokenGap = average(
      watched.tokenGap,
      milliseconds,
      watched.tokenGapSamples,
    );
    watched.tokenGapSamples += 1;
  }

  /** Compares the targets; to be called about twice a second. */
  compare(targets: readonly string[], now: MonotonicTime): void {
    this.#forgetOthers(targets);
    const watched = targets.map((target) => this.#watchedOf(target));
    this.#medianGap = median(watched, "tokenGap");
    this.#medianFirst = median(watched, "firstToken");
    let aside = watched.filter(
      (entry) => entry.health !== TargetHealth.InService,
    );
    const most = Math.max(1, Math.floor(targets.length * MAX_SHARE_SET_ASIDE));
    for (const entry of watched) {
      const mayGo = targets.length > 1 && aside.length < most;
      this.#judge(entry, now, mayGo);
      aside = watched.filter(({ health }) => health !== TargetHealth.InService);
    }
  }

  #judge(entry: ITargetStatistics, now: MonotonicTime, mayGo: boolean): void {
    const isBad = this.#isSlow(entry) || this.#isSilent(entry, now);
    if (entry.health === TargetHealth.InService && isBad && mayGo) {
      this.#setAside(entry, now);
    } else if (entry.health === TargetHealth.SetAside) {
      if (now >= entry.awayUntil) {
        entry.health = TargetHealth.Probation;
        entry.tokenGapSamples = 0;
        entry.firstTokenSamples = 0;
      }
    } else if (entry.health === TargetHealth.Probation) {
      if (isBad) {
        entry.timeAway = Math.min(LONGEST_TIME_AWAY, entry.timeAway * 2);
        this.#setAside(entry, now);
      } else if (entry.tokenGapSamples >= PROBATION_SAMPLES) {
        entry.health = TargetHealth.InService;
        entry.timeAway = FIRST_TIME_AWAY;
      }
    }
  }

  #setAside(entry: ITargetStatistics, now: MonotonicTime): void {
    entry.health = TargetHealth.SetAside;
    entry.awayUntil = now + entry.timeAway;
  }

  #isSlow(entry: ITargetStatistics): boolean {
    const isKnown =
      entry.tokenGapSamples >= MINIMUM_SAMPLES && this.#medianGap > 0;
    return isKnown && entry.tokenGap > this.#medianGap * SLOW_FACTOR;
  }

  /** A target whose tokens still come to others is loaded, not silent. */
  #isSilent(entry: ITargetStatistics, now: MonotonicTime): boolean {
    const [oldest] = entry.unanswered;
    if (oldest === undefined) {
      return false;
    }
    const patience = this.#medianFirst * SILENT_FACTOR;
    const quietSince = Math.max(oldest.sentAt, entry.lastTokenAt);
    return now - quietSince > Math.max(SHORTEST_SILENCE, patience);
  }

  #forgetOthers(targets: readonly string[]): void {
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

  #watchedOf(target: string): ITargetStatistics {
    let watched = this.#targets.get(target);
    if (watched === undefined) {
      watched = {
        health: TargetHealth.InService,
        tokenGap: 0,
        tokenGapSamples: 0,
        firstToken: 0,
        firstTokenSamples: 0,
        lastTokenAt: 0,
        awayUntil: 0,
        timeAway: FIRST_TIME_AWAY,
        unanswered: new Set(),
      };
      this.#targets.set(target, watched);
    }
    return watched;
  }
}

function average(before: number, newest: number, samples: number): number {
  const weight = Math.max(NEWEST_WEIGHT, 1 / (samples + 1));
  return before + (newest - before) * weight;
}

function median(
  watched: readonly ITargetStatistics[],
  field: "tokenGap" | "firstToken",
): number {
  const known = watched
    .map((entry) => entry[field])
    .filter((value) => value > 0)
    .sort((one, other) => one - other);
  return known[Math.floor((known.length - 1) / 2)] ?? 0;
}
