/**
 * Keeps calls from targets that have rejected one and named a time for which
 * this process is to send no more. Otherwise an overloaded target, which
 * rejects calls at once, looks idle and gets even more of them.
 *
 * After the time, one call tests the target before the others follow: calls
 * that have waited for it would otherwise all be rejected again.
 */
import type { IClock, ILog } from "./services/services.ts";
import type { MonotonicTime } from "./types.ts";

/** Milliseconds after which another call may test a target. */
const TRIAL_TIMEOUT = 500;

/** Milliseconds over which refused callers return. */
const RETURN_SPREAD = 500;

/** Milliseconds for which a target is remembered after its time. */
const RETENTION_TIME = 60_000;

interface ICooldown {
  until: MonotonicTime;
  /** When the latest call was sent to test the target; null if none was. */
  triedAt: MonotonicTime | null;
}

/** The cooldowns of all targets in one process, by a key of the target. */
export class TargetCooldowns {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #cooldowns = new Map<string, ICooldown>();

  constructor(parts: { readonly clock: IClock; readonly log: ILog }) {
    this.#clock = parts.clock;
    this.#log = parts.log;
  }

  /** @param retryAfter - milliseconds that the target named */
  recordRejection(target: string, retryAfter: number): void {
    this.#forgetOld();
    const known = this.#cooldowns.get(target);
    const until = Math.max(known?.until ?? 0, this.#now + retryAfter);
    this.#cooldowns.set(target, { until, triedAt: null });
    if (known === undefined) {
      const retry_after_ms = Math.round(retryAfter);
      this.#log.info("target_cooldown", { target, retry_after_ms });
    }
  }

  /** A target has answered a call without naming a time. */
  recordResponse(target: string): void {
    const known = this.#cooldowns.get(target);
    // Calls that were sent before the rejection may still be answered.
    if (known !== undefined && this.#now >= known.until) {
      this.#cooldowns.delete(target);
      this.#log.info("target_cooldown_ended", { target });
    }
  }

  recordSend(target: string): void {
    const known = this.#cooldowns.get(target);
    if (known !== undefined) {
      known.triedAt = this.#now;
    }
  }

  /** Whether a target wants no calls now. */
  isActive(target: string): boolean {
    return this.#remaining(target) > 0;
  }

  /** Whether a target may be sent a call now, and is not being tested. */
  maySend(target: string): boolean {
    const known = this.#cooldowns.get(target);
    if (known === undefined) {
      return true;
    }
    const { until, triedAt } = known;
    const isTested = triedAt !== null && this.#now - triedAt < TRIAL_TIMEOUT;
    return this.#now >= until && !isTested;
  }

  /** Milliseconds until the first of some targets takes calls; 0 if one does. */
  shortestWait(targets: readonly string[]): number {
    const waits = targets.map((target) => this.#remaining(target));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /**
   * When callers may return that were refused because some targets want no
   * calls, milliseconds; null if one of the targets takes calls.
   *
   * @param chance - random number in [0, 1), which spreads the callers
   */
  retryAfter(targets: readonly string[], chance: number): number | null {
    const wait = this.shortestWait(targets);
    return wait > 0 ? wait + chance * RETURN_SPREAD : null;
  }

  #remaining(target: string): number {
    const until = this.#cooldowns.get(target)?.until ?? 0;
    return Math.max(0, until - this.#now);
  }

  /** Forgets targets that have not answered a call since their time. */
  #forgetOld(): void {
    for (const [target, { until }] of this.#cooldowns) {
      if (this.#now > until + RETENTION_TIME) {
        this.#cooldowns.delete(target);
      }
    }
  }

  get #now(): MonotonicTime {
    return this.#clock.now();
  }
}
