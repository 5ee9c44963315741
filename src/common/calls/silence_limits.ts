/**
 * How long the streams of one model may be silent.
 *
 * A healthy group sends the events of its streams pass by pass. Between two
 * events lie the token steps of one pass and the prompts that are prefilled in
 * it, usually few and at times one chunk per step. Two limits follow. From the
 * first, the group is suspected: it gets no new calls, and the lease holder
 * asks its members, which costs little if the suspicion was wrong. From the
 * second, its streams are retried elsewhere, which costs a retry and a second
 * prefill. Retrying at the first limit would move many streams off healthy
 * groups, while a stream of a lost group is late either way.
 *
 * The limits are also never below recently observed times (mean and four mean
 * deviations, as TCP sets its timeout), so a link or a service that is slow for
 * all does not count as stalled. Each model has its own estimates, since those
 * of a fast model would make a slow one suspected.
 */
import type { MonotonicTime } from "../types.ts";

/** Multiple of the expected gap that is not suspicious. */
const GAP_FACTOR = 2;

/** Factor on a gap's limit for a first event, which also waits for a slot. */
const FIRST_EVENT_FACTOR = 1.5;

/** Shortest limit of a silence, milliseconds: two cross-zone trips. */
const SHORTEST_LIMIT = 60;

/** Mean deviations above the mean; TCP's retransmission timeout uses four. */
const DEVIATIONS = 4;

/** Weight of the newest sample in mean and deviation, as in TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** A stream that is watched for stalls. */
export interface IWatchedStream {
  readonly group: string;
  readonly model: string;
  /** Milliseconds between events while one chunk of a prompt is prefilled. */
  readonly gapDuringPrefill: number;
  /** The same while each step prefills a chunk. */
  readonly longestGap: number;
  /** Prefill time of its prompt, milliseconds. */
  readonly prefillTime: number;
  sentAt: MonotonicTime;
  /** Null before its first event. */
  lastEventAt: MonotonicTime | null;
}

/** The limits of one model's streams. */
export class SilenceLimits {
  readonly #gapEstimate = new MovingEstimate();
  readonly #firstEventEstimate = new MovingEstimate();

  /** Records an event; the stream's times must still be those before it. */
  recordEvent(stream: IWatchedStream, now: MonotonicTime): void {
    if (stream.lastEventAt === null) {
      this.#firstEventEstimate.add(now - stream.sentAt - stream.prefillTime);
    } else {
      this.#gapEstimate.add(now - stream.lastEventAt);
    }
  }

  /** Silence from which its group is suspected, milliseconds. */
  suspicionLimit(stream: IWatchedStream): number {
    const expectedLimit = stream.gapDuringPrefill * GAP_FACTOR;
    const gapLimit = Math.max(
      expectedLimit,
      this.#gapEstimate.limit,
      SHORTEST_LIMIT,
    );
    if (stream.lastEventAt !== null) {
      return gapLimit;
    }
    const firstEventLimit = Math.max(
      gapLimit * FIRST_EVENT_FACTOR,
      this.#firstEventEstimate.limit,
    );
    return firstEventLimit + stream.prefillTime;
  }

  /** Silence from which the stream is retried elsewhere, milliseconds. */
  stallLimit(stream: IWatchedStream): number {
    const expectedLimit = stream.longestGap * GAP_FACTOR;
    const prefill = stream.lastEventAt === null ? stream.prefillTime : 0;
    return Math.max(expectedLimit + prefill, this.suspicionLimit(stream));
  }
}

/** Moving mean and mean deviation of samples. */
class MovingEstimate {
  #mean: number | null = null;
  #deviation = 0;

  add(sample: number): void {
    if (this.#mean === null) {
      this.#mean = sample;
      this.#deviation = sample / 2;
      return;
    }
    const error = sample - this.#mean;
    this.#mean += error * MEAN_WEIGHT;
    this.#deviation += (Math.abs(error) - this.#deviation) * DEVIATION_WEIGHT;
  }

  /** 0 before the first sample. */
  get limit(): number {
    return (this.#mean ?? 0) + this.#deviation * DEVIATIONS;
  }
}
