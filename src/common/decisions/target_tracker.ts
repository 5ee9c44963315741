/**
 * What a daemon knows of a service's targets: loads between reports, limits,
 * paces and prefixes; and from these where one request goes.
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

/** Share of a prompt taken to be read already where its prefix is held. */
const PREFIX_SHARE = 0.5;

/** A target as its last report shows it. */
export interface ITargetLoadReport {
  readonly id: string;
  /** Requests running and queued there. */
  readonly reported: number;
  /** The moment, on this daemon's clock, the report describes. */
  readonly describes: MonotonicTime;
}

/** What is known of a service's targets at one moment. */
export interface ITargetsUpdate {
  /** Those that can serve now. */
  readonly targets: readonly ITargetLoadReport[];
  /** Daemons that send to them, this one included. */
  readonly daemons: number;
}

/** One request at one target. */
export interface ITrackedRequest extends ISentRequest {
  /** Cost of reading the prompt, in generated tokens. */
  readonly promptCost: number;
  /** Milliseconds the first token may take. */
  readonly firstTokenBound: number;
  /** Milliseconds a later token may take. */
  readonly tokenGapBound: number;
  /** Whether it was counted as late before it came. */
  isOverdue: boolean;
  /** Null until the first token. */
  lastTokenAt: MonotonicTime | null;
  isEnded: boolean;
}

/** A request to find a target for. */
export interface IRoutingRequest {
  readonly work: IWorkItem;
  /** Targets that failed this request already. */
  readonly avoid: ReadonlySet<string>;
}

/** The targets of one service. */
export class TargetTracker {
  readonly #runTime: RunTimeEstimator;
  readonly #known = new Map<string, TrackedTarget>();
  readonly #slow = new OutlierDetector();
  readonly #prefixes = new PrefixAffinity();
  /** Requests without a first token, in the order they were sent. */
  readonly #unanswered = new Set<ITrackedRequest>();
  #present: readonly TrackedTarget[] = [];
  #daemons = 1;
  #comparedAt: MonotonicTime = 0;

  constructor(runTime: RunTimeEstimator) {
    this.#runTime = runTime;
  }

  /** Requests this daemon may have in flight, with what others have there. */
  get usableSlots(): number {
    let reach = 0;
    for (const { ownInFlight, freeSlots } of this.#present) {
      reach += ownInFlight + Math.max(0, freeSlots);
    }
    return reach;
  }

  healthOf(target: string): TargetHealth {
    return this.#slow.healthOf(target);
  }

  /** Takes in the targets that can serve now, with their reports. */
  update(reports: ITargetsUpdate, now: MonotonicTime): void {
    const { targets, daemons } = reports;
    this.#daemons = daemons;
    this.#present = targets.map(({ id }) => this.#knownOf(id));
    for (const { id, reported, describes } of targets) {
      this.#knownOf(id).update(reported, describes, daemons);
    }
    this.#noteOverdue(now);
    if (now - this.#comparedAt >= COMPARE_EVERY) {
      this.#comparedAt = now;
      const present = targets.map(({ id }) => id);
      this.#slow.compare(present, now);
    }
    if (this.#known.size > this.#present.length) {
      this.#forgetIdle();
    }
  }

  /** Where a request goes; null when no target is left to try. */
  choose(choice: IRoutingRequest, random: () => number): string | null {
    const { work, avoid } = choice;
    const holders = this.#prefixes.targetsOf(work.prefix);
    const chosen = chooseCandidate(
      this.#present,
      { work, avoid, prefixTargets: holders, daemons: this.#daemons },
      random,
    );
    if (chosen === null) {
      return null;
    }
    this.#prefixes.recordSent(work.prefix, chosen.id);
    return chosen.id;
  }

  /** A request is sent to a target. */
  startRequest(
    target: string,
    work: IWorkItem,
    now: MonotonicTime,
  ): ITrackedRequest {
    const cost = work.promptTokens * PROMPT_TOKEN_COST;
    const holders = this.#prefixes.targetsOf(work.prefix);
    const isHeld = holders.includes(target);
    const use: ITrackedRequest = {
      target,
      sentAt: now,
      promptCost: isHeld ? cost * (1 - PREFIX_SHARE) : cost,
      firstTokenBound: boundOf(work, now),
      tokenGapBound: tokenGapBound(work),
      isOverdue: false,
      lastTokenAt: null,
      isEnded: false,
    };
    this.#knownOf(target).startRequest(use.promptCost, now);
    this.#slow.recordSent(use);
    this.#unanswered.add(use);
    return use;
  }

  /** Tokens came for a request. */
  recordTokens(use: ITrackedRequest, count: number, now: MonotonicTime): void {
    const { adaptiveLimit } = this.#knownOf(use.target);
    if (use.lastTokenAt === null) {
      const time = now - use.sentAt;
      this.#answered(use);
      this.#slow.recordFirstToken(use.target, time, now);
      this.#runTime.recordFirstToken(time);
      if (!use.isOverdue) {
        const isLate = time > use.firstTokenBound;
        adaptiveLimit.recordFirstToken(isLate, use.sentAt, now);
      }
    } else {
      const gap = (now - use.lastTokenAt) / count;
      this.#slow.recordTokenGap(use.target, gap, now);
      this.#runTime.recordTokenGap(gap);
      adaptiveLimit.recordTokenGap(gap > use.tokenGapBound, now);
    }
    use.lastTokenAt = now;
  }

  /**
   * The caller has taken what came and more is read from now on: the time it
   * took is its own, not the target's.
   */
  resumeRequest(use: ITrackedRequest, now: MonotonicTime): void {
    if (use.lastTokenAt !== null) {
      use.lastTokenAt = now;
    }
  }

  /** A request has ended at its target. */
  endRequest(use: ITrackedRequest, now: MonotonicTime): void {
    if (use.isEnded) {
      return;
    }
    use.isEnded = true;
    this.#knownOf(use.target).endRequest(now);
    if (use.lastTokenAt === null) {
      this.#answered(use);
    }
  }

  #answered(use: ITrackedRequest): void {
    this.#knownOf(use.target).finishPrompt(use.promptCost);
    this.#slow.clearUnanswered(use);
    this.#unanswered.delete(use);
  }

  /**
   * Counts first tokens that are late before they have come. Waiting for them
   * would tell of a queue inside the target only when it has worked it off.
   */
  #noteOverdue(now: MonotonicTime): void {
    for (const use of this.#unanswered) {
      const age = now - use.sentAt;
      if (age <= FIRST_TOKEN_BOUND) {
        return;
      }
      if (!use.isOverdue && age > use.firstTokenBound) {
        use.isOverdue = true;
        const { adaptiveLimit } = this.#knownOf(use.target);
        adaptiveLimit.recordFirstToken(true, use.sentAt, now);
      }
    }
  }

  #knownOf(target: string): TrackedTarget {
    let known = this.#known.get(target);
    if (known === undefined) {
      known = new TrackedTarget(target, this.#slow);
      this.#known.set(target, known);
    }
    return known;
  }

  /** Forgets targets that left, once nothing of this daemon runs there. */
  #forgetIdle(): void {
    const present = new Set(this.#present);
    for (const [id, known] of this.#known) {
      if (!present.has(known) && known.ownInFlight === 0) {
        this.#known.delete(id);
      }
    }
  }
}

/**
 * Milliseconds until the first token is late. How long a plain call takes is
 * the service's own affair: it may take half of what it has.
 */
function boundOf(work: IWorkItem, now: MonotonicTime): number {
  return work.isCall
    ? (work.deadline - now) / 2
    : firstTokenBound(work.promptTokens);
}
