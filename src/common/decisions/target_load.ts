/**
 * The load of one target between two of its reports. Pattern of load: reports
 * are about a second old, and a burst lasts less. Without counting what was
 * sent since, a daemon sends a whole burst to the target that was idlest a
 * second ago; one would notice by first tokens that are late on one target
 * while its peers stand idle. The report says what others run there, this
 * daemon's own memory what it has sent and seen finished.
 */
import type { MonotonicTime } from "../types.ts";

/** How long own changes are remembered, milliseconds: no report is older. */
const MEMORY = 5_000;

interface IChange {
  readonly at: MonotonicTime;
  readonly by: 1 | -1;
}

/** What this daemon knows of one target's load. */
export class TargetLoad {
  readonly #changes: IChange[] = [];
  #own = 0;
  #others = 0;

  /** Requests this daemon has sent and not seen finished. */
  get ownInFlight(): number {
    return this.#own;
  }

  /** Requests expected to be there now. */
  get total(): number {
    return this.#own + this.#others;
  }

  /** Counts a request sent. */
  recordSent(now: MonotonicTime): void {
    this.#change(now, 1);
  }

  /** Counts a request finished. */
  recordFinished(now: MonotonicTime): void {
    this.#change(now, -1);
  }

  /**
   * Takes in a report.
   *
   * @param reported Requests running and queued at the target.
   * @param describes The moment, on this daemon's clock, it describes.
   */
  update(reported: number, describes: MonotonicTime): void {
    let ownThen = this.#own;
    for (let index = this.#changes.length - 1; index >= 0; index--) {
      const change = this.#changes[index];
      if (change === undefined || change.at <= describes) {
        break;
      }
      ownThen -= change.by;
    }
    this.#others = Math.max(0, reported - ownThen);
  }

  #change(now: MonotonicTime, by: 1 | -1): void {
    this.#own += by;
    this.#changes.push({ at: now, by });
    const oldest = this.#changes.findIndex(({ at }) => at > now - MEMORY);
    if (oldest > 0) {
      this.#changes.splice(0, oldest);
    }
  }
}
