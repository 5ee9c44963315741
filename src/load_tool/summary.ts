/** Summarizes a run by stream, as text and as data. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { ILoadResult } from "./types.ts";

/** Histograms hold microseconds, to keep fractions of a millisecond. */
const UNITS_PER_MILLISECOND = 1_000;
const LARGEST_VALUE = 600_000 * UNITS_PER_MILLISECOND;

/** Results of a stream's requests. Times are in milliseconds. */
export interface IStreamSummary {
  readonly stream: string;
  readonly sent: number;
  readonly completed: number;
  /** Share of sent requests completed within the deadline, 0 to 1. */
  readonly onTimeShare: number;
  readonly firstByte95: number;
  readonly firstByte99: number;
  readonly gap95: number;
  readonly total95: number;
  readonly worst: number;
  /** Number of requests by outcome and reason, such as `not_run/over_limit`. */
  readonly outcomes: Readonly<Record<string, number>>;
}

/** Collects results by stream. */
export class LoadSummary {
  readonly #streams = new Map<string, StreamStatistics>();

  add(result: ILoadResult): void {
    let statistics = this.#streams.get(result.stream);
    if (statistics === undefined) {
      statistics = new StreamStatistics(result.stream);
      this.#streams.set(result.stream, statistics);
    }
    statistics.add(result);
  }

  streams(): readonly IStreamSummary[] {
    return [...this.#streams.values()].map((statistics) =>
      statistics.summary(),
    );
  }
}

class StreamStatistics {
  readonly #stream: string;
  readonly #firstByte = createHistogram();
  readonly #gap = createHistogram();
  readonly #total = createHistogram();
  readonly #outcomes = new Map<string, number>();
  #sent = 0;
  #completed = 0;
  #onTime = 0;

  constructor(stream: string) {
    this.#stream = stream;
  }

  add(result: ILoadResult): void {
    this.#sent += 1;
    const { outcome, reason } = result;
    const key = reason === "" ? outcome : `${outcome}/${reason}`;
    this.#outcomes.set(key, (this.#outcomes.get(key) ?? 0) + 1);
    if (outcome !== "completed") {
      return;
    }
    this.#completed += 1;
    this.#onTime += result.onTime ? 1 : 0;
    record(this.#firstByte, result.firstByte);
    record(this.#total, result.total);
    result.gaps.forEach((gap) => record(this.#gap, gap));
  }

  summary(): IStreamSummary {
    return {
      stream: this.#stream,
      sent: this.#sent,
      completed: this.#completed,
      onTimeShare: this.#onTime / this.#sent,
      firstByte95: percentile(this.#firstByte, 95),
      firstByte99: percentile(this.#firstByte, 99),
      gap95: percentile(this.#gap, 95),
      total95: percentile(this.#total, 95),
      worst: percentile(this.#total, 100),
      outcomes: Object.fromEntries(this.#outcomes),
    };
  }
}

/** Formats one line per stream. */
export function formatSummary(streams: readonly IStreamSummary[]): string {
  return streams.map(formatStream).join("\n");
}

function formatStream(summary: IStreamSummary): string {
  const outcomes = Object.entries(summary.outcomes)
    .map(([key, count]) => `${key}=${count}`)
    .join(" ");
  return [
    `stream=${summary.stream}`,
    `sent=${summary.sent}`,
    `on_time=${(summary.onTimeShare * 100).toFixed(2)}%`,
    `first_byte_p95=${summary.firstByte95.toFixed(1)}ms`,
    `first_byte_p99=${summary.firstByte99.toFixed(1)}ms`,
    `gap_p95=${summary.gap95.toFixed(1)}ms`,
    `total_p95=${summary.total95.toFixed(1)}ms`,
    `worst=${summary.worst.toFixed(1)}ms`,
    outcomes,
  ].join(" ");
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 64,
    lowestDiscernibleValue: 1,
    highestTrackableValue: LARGEST_VALUE,
    numberOfSignificantValueDigits: 3,
  });
}

function record(histogram: Histogram, milliseconds: number): void {
  const value = Math.round(milliseconds * UNITS_PER_MILLISECOND);
  histogram.recordValue(Math.min(Math.max(value, 0), LARGEST_VALUE));
}

function percentile(histogram: Histogram, percent: number): number {
  return histogram.getValueAtPercentile(percent) / UNITS_PER_MILLISECOND;
}
