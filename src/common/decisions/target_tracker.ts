/**
 * Tracks a service's targets in one daemon: load between reports, concurrency
 * limits, speed and recent prefixes. Chooses the target of each request from
 * these.
 */
import type { MonotonicTime } from "../types.ts";
import {
  FIRST_TOKEN_BOUND,
  firstTokenBound,
  tokenGapBound,
} from "./adaptive_limit.ts";
import { TrackedTarget } from "./tracked_target.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { chooseCandidate } from "./routing.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";
import { OutlierDetector } from "./outlier_detector.ts";
import type { ISentRequest, TargetHealth } from "./outlier_detector.ts";
import { PROMPT_TOKEN_COST } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/** How often targets are compared with one another, milliseconds. */
const COMPARE_EVERY = 500;

/** Share of the prefill cost assumed to be saved where the prefix is cached. */
const CACHED_PREFIX_SHARE = 0.5;

/** A target's load by its last report. */
export interface ITargetLoadReport {
  readonly id: string;
  /** Requests running and queued at the target. */
  readonly reported: number;
  /** The time the report describes, on this daemon's clock. */
  readonly describedAt: MonotonicTime;
}

/** The targets of a service at one moment. */
export interface ITargetsUpdate {
  /** Targets that can serve now. */
  readonly targets: readonly ITargetLoadReport[];
  /** Daemons that send to these targets, this one included. */
  readonly daemons: number;
}

/** One request sent to one target. */
export interface ITrackedRequest extends ISentRequest {
  /** Cost of the prompt's prefill, in generated tokens. */
  readonly promptCost: number;
  /** Milliseconds after which the first token is late. */
  readonly firstTokenBound: number;
  /** Milliseconds after which a later token is late. */
  readonly tokenGapBound: number;
  /** Whether the first token was counted as late before it arrived. */
  isOverdue: boolean;
  /** Null until the first token. */
  lastTokenAt: MonotonicTime | null;
  isEnded: boolean;
}

/** A request that needs a target. */
export interface IRoutingRequest {
  readonly work: IWorkItem;
  /** Targets that have already failed this request. */
  readonly avoid: ReadonlySet<string>;
}

/** The targets of one service. */
export class TargetTracker {
  readonly #runTime: RunTimeEstimator;
  readonly #tracked = new Map<string, TrackedTarget>();
  readonly #outliers = new OutlierDetector();
  readonly #prefixes = new PrefixAffinity();
  /** Requests without a first token, in the order sent. */
  readonly #unanswered = new Set<ITrackedRequest>();
  #available: readonly TrackedTarget[] = [];
  #daemons = 1;
  #comparedAt: MonotonicTime = 0;

  constructor(runTime: RunTimeEstimator) {
    this.#runTime = runTime;
  }

  /** Requests this daemon may have in flight, given what others have there. */
  get usableSlots(): number {
    let slots = 0;
    for (const { ownInFlight, freeSlots } of this.#available) {
      slots += ownInFlight + Math.max(0, freeSlots);
    }
    return slots;
  }

  healthOf(target: string): TargetHealth {
    return this.#outliers.healthOf(target);
  }

  /** Updates the targets that can serve now and their load. */
  update(update: ITargetsUpdate, now: MonotonicTime): void {
    const { targets, daemons } = update;
    this.#daemons = daemons;
    this.#available = targets.map(({ id }) => this.#trackedOf(id));
    for (const { id, reported, describedAt } of targets) {
      this.#trackedOf(id).update(reported, describedAt, daemons);
    }
    this.#recordOverdue(now);
    if (now - this.#comparedAt >= COMPARE_EVERY) {
      this.#comparedAt = now;
      const ids = targets.map(({ id }) => id);
      this.#outliers.compare(ids, now);
    }
    if (this.#tracked.size > this.#available.length) {
      this.#removeIdle();
    }
  }

  /** The target for a request; null when none is left to try. */
  choose(request: IRoutingRequest, random: () => number): string | null {
    const { work, avoid } = request;
    const prefixTargets = this.#prefixes.targetsOf(work.prefix);
    const chosen = chooseCandidate(
      this.#available,
      { work, avoid, prefixTargets, daemons: this.#daemons },
      random,
    );
    if (chosen === null) {
      return null;
    }
    this.#prefixes.recordSent(work.prefix, chosen.id);
    return chosen.id;
  }

  /** Records that a request is sent to a target. */
  startRequest(
    target: string,
    work: IWorkItem,
    now: MonotonicTime,
  ): ITrackedRequest {
    const cost = work.promptTokens * PROMPT_TOKEN_COST;
    const prefixTargets = this.#prefixes.targetsOf(work.prefix);
    const isPrefixCached = prefixTargets.includes(target);
    const request: ITrackedRequest = {
      target,
      sentAt: now,
      promptCost: isPrefixCached ? cost * (1 - CACHED_PREFIX_SHARE) : cost,
      firstTokenBound: firstTokenBoundOf(work, now),
      tokenGapBound: tokenGapBound(work),
      isOverdue: false,
      lastTokenAt: null,
      isEnded: false,
    };
    this.#trackedOf(target).startRequest(request.promptCost, now);
    this.#outliers.recordSent(request);
    this.#unanswered.add(request);
    return request;
  }

  /** Records tokens received for a request. */
  recordTokens(
    request: ITrackedRequest,
    count: number,
    now: MonotonicTime,
  ): void {
    const { adaptiveLimit } = this.#trackedOf(request.target);
    if (request.lastTokenAt === null) {
      const time = now - request.sentAt;
      this.#endUnanswered(request);
      this.#outliers.recordFirstToken(request.target, time, now);
      this.#runTime.recordFirstToken(time);
      if (!request.isOverdue) {
        const isLate = time > request.firstTokenBound;
        adaptiveLimit.recordFirstToken(isLate, request.sentAt, now);
      }
    } else {
      const gap = (now - request.lastTokenAt) / count;
      this.#outliers.recordTokenGap(request.target, gap, now);
      this.#runTime.recordTokenGap(gap);
      adaptiveLimit.recordTokenGap(gap > request.tokenGapBound, now);
    }
    request.lastTokenAt = now;
  }

  /**
   * The caller was slow to read and reading resumes now: the pause counts as
   * the caller's time, not the target's.
   */
  resumeRequest(request: ITrackedRequest, now: MonotonicTime): void {
    if (request.lastTokenAt !== null) {
      request.lastTokenAt = now;
    }
  }

  /** Records that a request has ended at its target. */
  endRequest(request: ITrackedRequest, now: MonotonicTime): void {
    if (request.isEnded) {
      return;
    }
    request.isEnded = true;
    this.#trackedOf(request.target).endRequest(now);
    if (request.lastTokenAt === null) {
      this.#endUnanswered(request);
    }
  }

  #endUnanswered(request: ITrackedRequest): void {
    this.#trackedOf(request.target).finishPrompt(request.promptCost);
    this.#outliers.clearUnanswered(request);
    this.#unanswered.delete(request);
  }

  /**
   * Counts first tokens as late before they arrive. Waiting for them would
   * reveal a queue inside the target only after it has drained.
   */
  #recordOverdue(now: MonotonicTime): void {
    for (const request of this.#unanswered) {
      const age = now - request.sentAt;
      if (age <= FIRST_TOKEN_BOUND) {
        return;
      }
      if (!request.isOverdue && age > request.firstTokenBound) {
        request.isOverdue = true;
        const { adaptiveLimit } = this.#trackedOf(request.target);
        adaptiveLimit.recordFirstToken(true, request.sentAt, now);
      }
    }
  }

  #trackedOf(target: string): TrackedTarget {
    let tracked = this.#tracked.get(target);
    if (tracked === undefined) {
      tracked = new TrackedTarget(target, this.#outliers);
      this.#tracked.set(target, tracked);
    }
    return tracked;
  }

  /**
   * Removes targets that have left, once no request of this daemon runs there.
   */
  #removeIdle(): void {
    const available = new Set(this.#available);
    for (const [id, tracked] of this.#tracked) {
      if (!available.has(tracked) && tracked.ownInFlight === 0) {
        this.#tracked.delete(id);
      }
    }
  }
}

/**
 * Milliseconds until the first token is late. The run time of a plain call
 * depends on the service, so it may take half of the time to its deadline.
 */
function firstTokenBoundOf(work: IWorkItem, now: MonotonicTime): number {
  return work.isCall
    ? (work.deadline - now) / 2
    : firstTokenBound(work.promptTokens);
}
