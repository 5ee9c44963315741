/**
 * Keeps to the request rates that targets name in their responses, each for all
 * processes together.
 *
 * An overloaded target still gets too many requests if each process applies the
 * limit by itself, even divided by their number: dozens of processes with one
 * request each exceed a limit of two a second. So the lease holder collects the
 * limits that all processes have received, and assigns each one to as few
 * processes as can use it. Without a holder, a process uses an even part. Each
 * part accrues from zero, so that a reassigned limit is not used twice.
 */
import type { IClock, ILog } from "../services/services.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IResponseHead } from "./types.ts";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

const MILLISECONDS_A_SECOND = 1_000;

/**
 * Requests per second that a target is sent at least, whatever it names: only a
 * response shows that its limit has ended.
 */
export const PROBE_RATE = 0.2;

/** Unused time of a share that may be used at once, milliseconds. */
const BURST_TIME = 100;

/** Requests that may always be sent at once. */
const MIN_BURST = 1;

/** Tolerance for rounding of accrued requests. */
const ROUNDING = 1e-9;

/**
 * How long the end of a limit is remembered, milliseconds, so that older
 * observations of other processes do not revive it.
 */
const ENDED_LIFETIME = 10_000;

/** What a target named in a response. */
export interface IRateLimitObservation {
  /** Requests per second of all processes; null if it named no limit. */
  readonly rate: number | null;
  /** Milliseconds since the response. */
  readonly age: number;
}

/** Observations by target. */
export type RateLimitObservations = Readonly<
  Record<InstanceId, IRateLimitObservation>
>;

/** Requests per second that one process may send, by target. */
export type RateShares = Readonly<Record<InstanceId, number>>;

/** Dependencies of {@link TargetRateLimits}. */
export interface ITargetRateLimitParts {
  readonly clock: IClock;
  readonly log: ILog;
  /** Number of processes that send calls, as far as known. */
  readonly processes: () => number;
}

interface ITargetLimit {
  /** Requests per second of all processes; null once the limit has ended. */
  rate: number | null;
  observedAt: MonotonicTime;
  /** Requests per second of this process; null without an assignment. */
  share: number | null;
  /** Requests that this process may send now. */
  allowance: number;
  accruedAt: MonotonicTime;
}

/** The limits known to one process, and its part of them. */
export class TargetRateLimits {
  readonly #parts: ITargetRateLimitParts;
  readonly #limits = new Map<InstanceId, ITargetLimit>();

  constructor(parts: ITargetRateLimitParts) {
    this.#parts = parts;
  }

  /** Limits in force, in requests per second of all processes. */
  get rates(): ReadonlyMap<InstanceId, number> {
    const rates = new Map<InstanceId, number>();
    for (const [target, { rate }] of this.#limits) {
      if (rate !== null) {
        rates.set(target, rate);
      }
    }
    return rates;
  }

  /** What this process knows, for other processes. */
  get observations(): RateLimitObservations {
    const now = this.#now;
    return Object.fromEntries(
      [...this.#limits].map(([target, { rate, observedAt }]) => [
        target,
        { rate, age: now - observedAt },
      ]),
    );
  }

  /** Handles the head of a target's response. */
  recordResponse(target: InstanceId, head: IResponseHead): void {
    const isSuccess = head.status >= STATUS_OK && head.status < STATUS_REDIRECT;
    // Only a success shows that a limit has ended: a failure may come from
    // something in front of the target.
    if (head.rateLimit !== null || (isSuccess && this.#limits.has(target))) {
      this.#update(target, head.rateLimit, this.#now);
    }
  }

  /** Applies what other processes know. */
  merge(observations: RateLimitObservations): void {
    for (const [target, { rate, age }] of Object.entries(observations)) {
      const observedAt = this.#now - age;
      const known = this.#limits.get(target);
      if (known === undefined || known.observedAt < observedAt) {
        this.#update(target, rate, observedAt);
      }
    }
  }

  /** @param shares - null while there is no assignment */
  assignShares(shares: RateShares | null): void {
    for (const [target, limit] of this.#limits) {
      this.#accrue(limit);
      limit.share = shares?.[target] ?? null;
    }
  }

  /** Whether only other processes may send a limited target requests. */
  isAssignedElsewhere(target: InstanceId): boolean {
    const limit = this.#limits.get(target);
    return limit !== undefined && limit.rate !== null && limit.share === 0;
  }

  /** Whether this process may send a target a request now. */
  maySend(target: InstanceId): boolean {
    const limit = this.#limits.get(target);
    if (limit === undefined || limit.rate === null) {
      return true;
    }
    this.#accrue(limit);
    return limit.allowance >= 1 - ROUNDING;
  }

  recordSend(target: InstanceId): void {
    const limit = this.#limits.get(target);
    if (limit !== undefined) {
      this.#accrue(limit);
      limit.allowance = Math.max(0, limit.allowance - 1);
    }
  }

  /** Removes ended limits, and those of targets that are no longer known. */
  cleanUp(known: { has(target: InstanceId): boolean }): void {
    for (const [target, { rate, observedAt }] of this.#limits) {
      const hasExpired =
        rate === null && this.#now - observedAt > ENDED_LIFETIME;
      if (hasExpired || !known.has(target)) {
        this.#limits.delete(target);
      }
    }
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #update(
    target: InstanceId,
    rate: number | null,
    observedAt: MonotonicTime,
  ): void {
    const known = this.#limits.get(target);
    const before = known?.rate ?? null;
    if (known === undefined) {
      const accruedAt = this.#now;
      const limit = { rate, observedAt, share: null, allowance: 0, accruedAt };
      this.#limits.set(target, limit);
    } else {
      this.#accrue(known);
      known.rate = rate;
      known.observedAt = observedAt;
    }
    if (rate !== before) {
      this.#parts.log.info("target_limit", { target, rate });
    }
  }

  #accrue(limit: ITargetLimit): void {
    const now = this.#now;
    const elapsed = (now - limit.accruedAt) / MILLISECONDS_A_SECOND;
    const total = Math.max(PROBE_RATE, limit.rate ?? 0);
    const share = limit.share ?? total / Math.max(1, this.#parts.processes());
    const burst = (share * BURST_TIME) / MILLISECONDS_A_SECOND;
    limit.allowance = Math.min(
      Math.max(MIN_BURST, burst),
      limit.allowance + elapsed * share,
    );
    limit.accruedAt = now;
  }
}
