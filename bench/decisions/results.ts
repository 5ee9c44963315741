/** What callers got, by account. */

/** Times and counts of one account, or of all. */
export class Results {
  offered = 0;
  onTime = 0;
  late = 0;
  failed = 0;
  refused = 0;
  /** Tokens generated for answers nobody received whole and on time. */
  wastedTokens = 0;
  usefulTokens = 0;
  readonly firstTokens: number[] = [];
  readonly tokenGaps: number[] = [];
  readonly responseTimes: number[] = [];
  /** How long after arrival a refusal was told. */
  readonly refusalDelays: number[] = [];
  /** Moments of arrival and first-token times, for looking at a span. */
  readonly series: { readonly at: number; readonly firstToken: number }[] = [];

  /** Moments of whole answers on time. */
  readonly completionTimes: number[] = [];

  /** Whole answers on time a second in a span, milliseconds. */
  goodput(from: number, to: number): number {
    const inSpan = this.completionTimes.filter((at) => at >= from && at < to);
    return inSpan.length / ((to - from) / 1_000);
  }

  /** Share of the offered requests answered whole and on time. */
  get onTimeShare(): number {
    return this.offered === 0 ? 1 : this.onTime / this.offered;
  }
}

/** The value below which a share of the values lie. */
export function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) {
    return Number.NaN;
  }
  const sorted = Float64Array.from(values).sort();
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? Number.NaN;
}
