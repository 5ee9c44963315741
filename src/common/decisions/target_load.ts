/**
 * Estimates the load of one target between two of its reports. Reports are
 * about a second old, and a burst is shorter. Without counting what it has sent
 * since, a daemon sends a whole burst to the target that was the least loaded a
 * second ago, and first tokens are late there while other targets are idle. The
 * report gives the other daemons' requests; this daemon counts its own as they
 * are sent and finished.
 */
import type { MonotonicTime } from "../types.ts";

/**
 * How long this daemon's own changes are kept, milliseconds: no report is
 * older.
 */
const CHANGE_RETENTION = 5_000;

interface IChange {
  readonly at: MonotonicTime;
  readonly by: 1 | -1;
}

/** The load of one target as estimated by this daemon. */
export class TargetLoad {
  readonly #changes: IChange[] = [];
  #own = 0;
  #others = 0;

  /** Requests this daemon has sent and not yet seen finished. */
  get ownInFlight(): number {
    return this.#own;
  }

  /** Requests expected to be at the target now. */
  get total(): number {
    return this.#own + this.#others;
  }

  recordSent(now: MonotonicTime): void {
    this.#change(now, 1);
  }

  recordFinished(now: MonotonicTime): void {
    this.#change(now, -1);
  }

  /**
   * Updates the load from a report.
   *
   * @param reported Requests running and queued at the target.
   * @param describedAt The time the report describedAt, on this daemon's clock.
   */
  update(reported: number, describedAt: MonotonicTime): void {
    let ownAtReport = this.#own;
    for (let index = this.#changes.length - 1; index >= 0; index--) {
      const change = this.#changes[index];
      if (change === undefined || change.at <= describedAt) {
        break;
      }
      ownAtReport -= change.by;
    }
    this.#others = Math.max(0, reported - ownAtReport);
  }

  #change(now: MonotonicTime, by: 1 | -1): void {
    this.#own += by;
    this.#changes.push({ at: now, by });
    const oldest = this.#changes.findIndex(
      ({ at }) => at > now - CHANGE_RETENTION,
    );
    if (oldest > 0) {
      this.#changes.splice(0, oldest);
    }
  }
}
