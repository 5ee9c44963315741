/** Measurements from the callers' point of view, by account. */

/** Times in milliseconds and counts, of one account or of all. */
export class Results {
  offered = 0;
  onTime = 0;
  late = 0;
  failed = 0;
  refused = 0;
  /** Tokens of responses that were not received complete and on time. */
  wastedTokens = 0;
  usefulTokens = 0;
  readonly firstTokens: number[] = [];
  readonly tokenGaps: number[] = [];
  readonly responseTimes: number[] = [];
  /** Times from arrival to refusal. */
  readonly refusalDelays: number[] = [];
  /** Arrival times with times to the first token, to evaluate an interval. */
  readonly series: { readonly at: number; readonly firstToken: number }[] = [];

  /** When responses were completed on time. */
  readonly completionTimes: number[] = [];

  /** Complete responses on time per second, in an interval in milliseconds. */
  goodput(from: number, to: number): number {
    const inSpan = this.completionTimes.filter((at) => at >= from && at < to);
    return inSpan.length / ((to - from) / 1_000);
  }

  /** Share of the offered requests answered completely and on time. */
  get onTimeShare(): number {
    return this.offered === 0 ? 1 : this.onTime / this.offered;
  }
}

/** The value below which a share of the values lie, or NaN without values. */
export function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) {
    return Number.NaN;
  }
  const sorted = Float64Array.from(values).sort();
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? Number.NaN;
}
