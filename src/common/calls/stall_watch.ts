/**
 * Notices a group that stands still. Pattern of load: a member of a serving
 * group dies; the head goes on accepting, moves nothing, and says so only
 * after the platform's stall time of some seconds. Without this each request
 * sent there in the meantime waits for its deadline, and streams that had
 * begun pause for seconds; one would notice by a 99th of the first event
 * twenty times the median.
 *
 * A group in order answers all its streams in step: between two events lie
 * `stride` token steps and at most one chunk of prompt reading. So when all
 * streams of a group have been silent for longer than that, the group is
 * suspected. One silent stream among others that move proves nothing of the
 * group; it is given up only after {@link ALONE_FACTOR} times as long.
 *
 * The limit is the larger of twice the published model's longest regular gap
 * and of what was seen of late (mean and four mean deviations, as TCP sets
 * its timeout), so a link or a service that is slow for all is not taken for
 * a stall. A pause of this process moves all reference times on by its length.
 */
import type { MonotonicTime } from "../types.ts";

/** Multiple of the longest regular gap that is no cause for suspicion. */
const MODEL_FACTOR = 2;

/** Mean deviations above the mean; TCP's retransmission timeout has four. */
const DEVIATIONS = 4;

/** Weight of the newest sample in mean and deviation, as in TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** How much longer one stream alone may be silent than its whole group. */
const ALONE_FACTOR = 4;

/** No silence is judged before this, milliseconds: two cross-zone trips. */
const SHORTEST_LIMIT = 60;

/** A first event needs a place in the batch as well: this much longer. */
const FIRST_EVENT_FACTOR = 1.5;

/** A longer gap between two checks is a pause of this process, milliseconds. */
const LONGEST_CHECK_GAP = 80;

/** How long a suspected group gets nothing, milliseconds. */
const SUSPICION_TIME = 1_500;

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

/** One stream under watch. */
export interface IWatchedStream {
  readonly group: string;
  /** Milliseconds between events of its group in the worst regular case. */
  readonly longestGap: number;
  /** Milliseconds its prompt takes to read. */
  readonly readTime: number;
  sentAt: MonotonicTime;
  /** Null before its first event. */
  heardAt: MonotonicTime | null;
}

interface IWatchedGroup {
  readonly streams: Set<IWatchedStream>;
  heardAt: MonotonicTime;
  suspectUntil: MonotonicTime;
}

/** What a check found. */
export interface IStalls {
  /** Groups suspected from now on. */
  readonly groups: readonly string[];
  /** Streams to be taken elsewhere. */
  readonly streams: readonly IWatchedStream[];
}

/** Watches the streams of one service in one process. */
export class StallWatch {
  readonly #groups = new Map<string, IWatchedGroup>();
  readonly #gaps = new Estimate();
  readonly #firsts = new Estimate();
  #checkedAt: MonotonicTime | null = null;

  /** Whether a group is suspected and should get nothing. */
  isSuspect(group: string, now: MonotonicTime): boolean {
    return now < (this.#groups.get(group)?.suspectUntil ?? 0);
  }

  /** Groups suspected at this moment. */
  suspects(now: MonotonicTime): readonly string[] {
    return [...this.#groups]
      .filter(([, { suspectUntil }]) => now < suspectUntil)
      .map(([name]) => name);
  }

  sent(stream: IWatchedStream): void {
    const group = this.#groupOf(stream.group, stream.sentAt);
    if (group.streams.size === 0) {
      group.heardAt = stream.sentAt;
    }
    group.streams.add(stream);
  }

  /** An event of the stream arrived: its group moves. */
  heard(stream: IWatchedStream, now: MonotonicTime): void {
    if (stream.heardAt === null) {
      this.#firsts.add(now - stream.sentAt - stream.readTime);
    } else {
      this.#gaps.add(now - stream.heardAt);
    }
    stream.heardAt = now;
    const group = this.#groupOf(stream.group, now);
    group.heardAt = now;
    group.suspectUntil = 0;
  }

  ended(stream: IWatchedStream): void {
    const group = this.#groups.get(stream.group);
    group?.streams.delete(stream);
  }

  /** The group was seen to refuse or to break off: it is not used for a while. */
  distrust(name: string, now: MonotonicTime): void {
    this.#groupOf(name, now).suspectUntil = now + SUSPICION_TIME;
  }

  /** Compares the silences with their limits; called every few steps. */
  check(now: MonotonicTime): IStalls {
    this.#allowForPause(now);
    const groups: string[] = [];
    const streams: IWatchedStream[] = [];
    for (const [name, group] of this.#groups) {
      if (group.streams.size === 0) {
        this.#forget(name, group, now);
      } else if (this.#isStill(group, now)) {
        if (now >= group.suspectUntil) {
          groups.push(name);
        }
        group.suspectUntil = now + SUSPICION_TIME;
        streams.push(...group.streams);
      } else {
        for (const stream of group.streams) {
          if (this.#isAlone(stream, now)) {
            streams.push(stream);
          }
        }
      }
    }
    return { groups, streams };
  }

  /** Silence of all streams; each has its own limit and the longest counts. */
  #isStill(group: IWatchedGroup, now: MonotonicTime): boolean {
    const silence = now - group.heardAt;
    for (const stream of group.streams) {
      if (silence <= this.#limitOf(stream)) {
        return false;
      }
    }
    return true;
  }

  #isAlone(stream: IWatchedStream, now: MonotonicTime): boolean {
    const since = stream.heardAt ?? stream.sentAt;
    return now - since > this.#limitOf(stream) * ALONE_FACTOR;
  }

  #limitOf(stream: IWatchedStream): number {
    const byModel = stream.longestGap * MODEL_FACTOR;
    const byGaps = Math.max(byModel, this.#gaps.limit, SHORTEST_LIMIT);
    if (stream.heardAt !== null) {
      return byGaps;
    }
    const first = Math.max(byGaps * FIRST_EVENT_FACTOR, this.#firsts.limit);
    return first + stream.readTime;
  }

  #allowForPause(now: MonotonicTime): void {
    const gap = now - (this.#checkedAt ?? now);
    this.#checkedAt = now;
    if (gap <= LONGEST_CHECK_GAP) {
      return;
    }
    for (const group of this.#groups.values()) {
      group.heardAt = Math.min(now, group.heardAt + gap);
      for (const stream of group.streams) {
        stream.sentAt = Math.min(now, stream.sentAt + gap);
        if (stream.heardAt !== null) {
          stream.heardAt = Math.min(now, stream.heardAt + gap);
        }
      }
    }
  }

  #forget(name: string, group: IWatchedGroup, now: MonotonicTime): void {
    if (now >= group.suspectUntil) {
      this.#groups.delete(name);
    }
  }

  #groupOf(name: string, now: MonotonicTime): IWatchedGroup {
    let group = this.#groups.get(name);
    if (group === undefined) {
      group = { streams: new Set(), heardAt: now, suspectUntil: 0 };
      this.#groups.set(name, group);
    }
    return group;
  }
}
