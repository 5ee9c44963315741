/** Counts one measure of one service and account over the last day. */
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { BURN_WINDOWS, SERIES_STEP } from "./burn_types.ts";
import type { IBurnCount, IBurnPoint, IMeasureCounts } from "./burn_types.ts";

/** A day of minutes, the longest window. */
const SLOTS = 1_440;
const MILLISECONDS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;

/** Largest duration that is told apart, milliseconds: ten minutes. */
const LARGEST_DURATION = 600_000;

/** A histogram for milliseconds; two digits tell 58 from 59. */
export function buildHistogram(): Histogram {
  return build({
    bitBucketSize: "packed",
    lowestDiscernibleValue: 1,
    highestTrackableValue: LARGEST_DURATION,
    numberOfSignificantValueDigits: 2,
  }) as Histogram;
}

/**
 * A ring of minutes. Minutes are those of the calendar, so that daemons' points
 * fall together in a merged plot; a step of the host's clock misplaces counts
 * by as much and loses none within the day.
 */
export class BurnCounter {
  readonly #minutes = new Float64Array(SLOTS).fill(-1);
  readonly #totals = new Uint32Array(SLOTS);
  readonly #bads = new Uint32Array(SLOTS);
  #hour = 0;
  #current = buildHistogram();
  #previous = buildHistogram();

  /**
   * @param milliseconds - the duration measured
   * @param count - how many of it, and whether they missed the objective
   */
  record(
    now: number,
    milliseconds: number,
    count: { readonly total: number; readonly isBad: boolean },
  ): void {
    const minute = Math.floor(now / MILLISECONDS_PER_MINUTE);
    const slot = minute % SLOTS;
    if (this.#minutes[slot] !== minute) {
      this.#minutes[slot] = minute;
      this.#totals[slot] = 0;
      this.#bads[slot] = 0;
    }
    this.#totals[slot] = (this.#totals[slot] ?? 0) + count.total;
    this.#bads[slot] =
      (this.#bads[slot] ?? 0) + (count.isBad ? count.total : 0);
    this.#turnHour(minute);
    const value = Math.min(
      Math.max(Math.round(milliseconds), 0),
      LARGEST_DURATION,
    );
    this.#current.recordValueWithCount(value, count.total);
  }

  /** Everything counted up to now, for merging. */
  read(now: number): IMeasureCounts {
    const minute = Math.floor(now / MILLISECONDS_PER_MINUTE);
    this.#turnHour(minute);
    const merged = buildHistogram();
    merged.add(this.#previous);
    merged.add(this.#current);
    return {
      windows: BURN_WINDOWS.map(({ minutes }) => this.#sum(minute, minutes)),
      series: this.#series(minute),
      histogram: encodeIntoCompressedBase64(merged),
    };
  }

  #sum(minute: number, minutes: number): IBurnCount {
    let total = 0;
    let bad = 0;
    for (let slot = 0; slot < SLOTS; slot++) {
      const age = minute - (this.#minutes[slot] ?? -1);
      if (age >= 0 && age < minutes) {
        total += this.#totals[slot] ?? 0;
        bad += this.#bads[slot] ?? 0;
      }
    }
    return { total, bad };
  }

  #series(minute: number): readonly IBurnPoint[] {
    const points = new Map<number, { total: number; bad: number }>();
    for (let slot = 0; slot < SLOTS; slot++) {
      const at = this.#minutes[slot] ?? -1;
      const age = minute - at;
      if (at < 0 || age < 0 || age >= SLOTS) {
        continue;
      }
      const start = at - (at % SERIES_STEP);
      const point = points.get(start) ?? { total: 0, bad: 0 };
      point.total += this.#totals[slot] ?? 0;
      point.bad += this.#bads[slot] ?? 0;
      points.set(start, point);
    }
    return [...points]
      .sort(([left], [right]) => left - right)
      .map(([start, counts]) => ({
        from: start * MILLISECONDS_PER_MINUTE,
        ...counts,
      }));
  }

  #turnHour(minute: number): void {
    const hour = Math.floor(minute / MINUTES_PER_HOUR);
    if (hour === this.#hour) {
      return;
    }
    const isNext = hour === this.#hour + 1;
    this.#previous = isNext ? this.#current : buildHistogram();
    this.#current = buildHistogram();
    this.#hour = hour;
  }
}
