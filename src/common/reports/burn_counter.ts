/** Counts one measure of one service and client account over the last day. */
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { BURN_WINDOWS, SERIES_STEP } from "./burn_types.ts";
import type { IBurnCount, IBurnPoint, IMeasureCounts } from "./burn_types.ts";

/** Number of one-minute slots: one day, the longest window. */
const SLOT_COUNT = 1_440;
const MILLISECONDS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;

/** Largest duration distinguished, milliseconds: ten minutes. */
const MAXIMUM_DURATION = 600_000;

/** Creates a histogram of milliseconds; two digits distinguish 58 from 59. */
export function buildHistogram(): Histogram {
  return build({
    bitBucketSize: "packed",
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_DURATION,
    numberOfSignificantValueDigits: 2,
  }) as Histogram;
}

/**
 * A ring buffer of one-minute slots. Slots are aligned to calendar minutes so
 * that the points of different daemons coincide in a merged plot. A step of the
 * host clock shifts counts by as much but loses none within the day.
 */
export class BurnCounter {
  readonly #minutes = new Float64Array(SLOT_COUNT).fill(-1);
  readonly #totalCounts = new Uint32Array(SLOT_COUNT);
  readonly #badCounts = new Uint32Array(SLOT_COUNT);
  #hour = 0;
  #currentHistogram = buildHistogram();
  #previousHistogram = buildHistogram();

  /**
   * @param milliseconds - the measured duration
   * @param count - how many, and whether they missed the objective
   */
  record(
    now: number,
    milliseconds: number,
    count: { readonly total: number; readonly isBad: boolean },
  ): void {
    const minute = Math.floor(now / MILLISECONDS_PER_MINUTE);
    const slot = minute % SLOT_COUNT;
    if (this.#minutes[slot] !== minute) {
      this.#minutes[slot] = minute;
      this.#totalCounts[slot] = 0;
      this.#badCounts[slot] = 0;
    }
    this.#totalCounts[slot] = (this.#totalCounts[slot] ?? 0) + count.total;
    this.#badCounts[slot] =
      (this.#badCounts[slot] ?? 0) + (count.isBad ? count.total : 0);
    this.#rotateHistograms(minute);
    const value = Math.min(
      Math.max(Math.round(milliseconds), 0),
      MAXIMUM_DURATION,
    );
    this.#currentHistogram.recordValueWithCount(value, count.total);
  }

  /** Returns all counts up to now, for merging with those of other daemons. */
  read(now: number): IMeasureCounts {
    const minute = Math.floor(now / MILLISECONDS_PER_MINUTE);
    this.#rotateHistograms(minute);
    const merged = buildHistogram();
    merged.add(this.#previousHistogram);
    merged.add(this.#currentHistogram);
    return {
      windows: BURN_WINDOWS.map(({ minutes }) => this.#sum(minute, minutes)),
      series: this.#series(minute),
      histogram: encodeIntoCompressedBase64(merged),
    };
  }

  #sum(minute: number, minutes: number): IBurnCount {
    let total = 0;
    let bad = 0;
    for (let slot = 0; slot < SLOT_COUNT; slot++) {
      const age = minute - (this.#minutes[slot] ?? -1);
      if (age >= 0 && age < minutes) {
        total += this.#totalCounts[slot] ?? 0;
        bad += this.#badCounts[slot] ?? 0;
      }
    }
    return { total, bad };
  }

  #series(minute: number): readonly IBurnPoint[] {
    const points = new Map<number, { total: number; bad: number }>();
    for (let slot = 0; slot < SLOT_COUNT; slot++) {
      const at = this.#minutes[slot] ?? -1;
      const age = minute - at;
      if (at < 0 || age < 0 || age >= SLOT_COUNT) {
        continue;
      }
      const start = at - (at % SERIES_STEP);
      const point = points.get(start) ?? { total: 0, bad: 0 };
      point.total += this.#totalCounts[slot] ?? 0;
      point.bad += this.#badCounts[slot] ?? 0;
      points.set(start, point);
    }
    return [...points]
      .sort(([left], [right]) => left - right)
      .map(([start, counts]) => ({
        from: start * MILLISECONDS_PER_MINUTE,
        ...counts,
      }));
  }

  #rotateHistograms(minute: number): void {
    const hour = Math.floor(minute / MINUTES_PER_HOUR);
    if (hour === this.#hour) {
      return;
    }
    const isNext = hour === this.#hour + 1;
    this.#previousHistogram = isNext
      ? this.#currentHistogram
      : buildHistogram();
    this.#currentHistogram = buildHistogram();
    this.#hour = hour;
  }
}
