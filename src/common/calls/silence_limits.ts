/**
 * How long the streams of one model may be silent.
 *
 * A group in order answers its streams pass by pass: between two events lie the
 * token steps of one pass, and what is read of prompts in it, most often little
 * and at times one chunk a step. Two limits follow. From the first on a group
 * is in doubt: it gets nothing new and the lease holder asks its members, which
 * costs little if it was wrong. From the second on its streams are taken
 * elsewhere, which costs a repeat and a second reading of the prompt. Taken
 * elsewhere at the first limit, many streams would be moved off groups in
 * order, while one that was in a lost group is late either way.
 *
 * The limits are also never below what was seen of late (mean and four mean
 * deviations, as TCP sets its timeout), so a link or a service that is slow for
 * all is not taken for a stall. Each model is judged by its own times: those of
 * a quick one would bring a slow one under suspicion.
 */
import type { MonotonicTime } from "../types.ts";

/** Multiple of a gap that is no cause for doubt. */
const GAP_FACTOR = 2;

/** A first event needs a place in the batch as well: this much longer. */
const FIRST_EVENT_FACTOR = 1.5;

/** No silence is judged before this, milliseconds: two cross-zone trips. */
const SHORTEST_LIMIT = 60;

/** Mean deviations above the mean; TCP's retransmission timeout has four. */
const DEVIATIONS = 4;

/** Weight of the newest sample in mean and deviation, as in TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** One stream under watch. */
export interface IWatchedStream {
  readonly group: string;
  readonly model: string;
  /** Milliseconds between events while one chunk of a prompt is read. */
  readonly gapDuringPrefill: number;
  /** The same while a chunk is read in each step. */
  readonly longestGap: number;
  /** Milliseconds its prompt takes to read. */
  readonly prefillTime: number;
  sentAt: MonotonicTime;
  /** Null before its first event. */
  lastEventAt: MonotonicTime | null;
}

/** The limits of one model's streams. */
export class SilenceLimits {
  readonly #gaps = new Estimate();
  readonly #firsts = new Estimate();

  /** An event of the stream has come; its times are still those before it. */
  recordEvent(stream: IWatchedStream, now: MonotonicTime): void {
    if (stream.lastEventAt === null) {
      this.#firsts.add(now - stream.sentAt - stream.prefillTime);
    } else {
      this.#gaps.add(now - stream.lastEventAt);
    }
  }

  /** Milliseconds of silence from which its group is in doubt. */
  suspicionLimit(stream: IWatchedStream): number {
    const byModel = stream.gapDuringPrefill * GAP_FACTOR;
    const byGaps = Math.max(byModel, this.#gaps.limit, SHORTEST_LIMIT);
    if (stream.lastEventAt !== null) {
      return byGaps;
    }
    const first = Math.max(byGaps * FIRST_EVENT_FACTOR, this.#firsts.limit);
    return first + stream.prefillTime;
  }

  /** Milliseconds of silence from which it is taken elsewhere. */
  stallLimit(stream: IWatchedStream): number {
    const byModel = stream.longestGap * GAP_FACTOR;
    const reading = stream.lastEventAt === null ? stream.prefillTime : 0;
    return Math.max(byModel + reading, this.suspicionLimit(stream));
  }
}

/** A mean and its mean deviation. */
class Estimate {
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
