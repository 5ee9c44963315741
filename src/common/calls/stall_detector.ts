/**
 * Notices a group that stands still. Pattern of load: a member of a serving
 * group dies; the head goes on accepting, moves nothing, and says so only
 * after the platform's stall time of some seconds. Without this each request
 * sent there in the meantime waits for its deadline, and streams that had
 * begun pause for seconds; one would notice by a 99th of the first event
 * twenty times the median.
 *
 * A group in order answers all its streams in step, so when all of them have
 * been silent for longer than {@link SilenceLimits} allow, the group is in
 * doubt, and soon after its streams are taken elsewhere. One silent stream
 * among others that move proves nothing of the group; it is given up only after
 * {@link ALONE_FACTOR} times as long. A pause of this process moves all
 * reference times on by its length.
 */
import type { MonotonicTime } from "../types.ts";
import { SilenceLimits } from "./silence_limits.ts";
import type { IWatchedStream } from "./silence_limits.ts";

/** How much longer one stream alone may be silent than its whole group. */
const ALONE_FACTOR = 4;

/** A longer gap between two checks is a pause of this process, milliseconds. */
const LONGEST_CHECK_GAP = 80;

/** How long a suspected group gets nothing, milliseconds. */
const SUSPICION_TIME = 1_500;

interface IWatchedGroup {
  readonly streams: Set<IWatchedStream>;
  heardAt: MonotonicTime;
  suspectUntil: MonotonicTime;
}

/** What a check found. */
export interface IStalls {
  /** Groups suspected from now on. */
  readonly suspectedGroups: readonly string[];
  /** Streams to be taken elsewhere. */
  readonly stalledStreams: readonly IWatchedStream[];
}

/** Watches the streams of one service in one process. */
export class StallDetector {
  readonly #groups = new Map<string, IWatchedGroup>();
  /** By model. */
  readonly #limits = new Map<string, SilenceLimits>();
  #checkedAt: MonotonicTime | null = null;

  /** Whether a group is suspected and should get nothing. */
  isSuspected(group: string, now: MonotonicTime): boolean {
    return now < (this.#groups.get(group)?.suspectUntil ?? 0);
  }

  /** Groups suspected at this moment. */
  suspectedGroups(now: MonotonicTime): readonly string[] {
    return [...this.#groups]
      .filter(([, { suspectUntil }]) => now < suspectUntil)
      .map(([name]) => name);
  }

  recordSend(stream: IWatchedStream): void {
    const group = this.#groupOf(stream.group, stream.sentAt);
    if (group.streams.size === 0) {
      group.heardAt = stream.sentAt;
    }
    group.streams.add(stream);
  }

  /** An event of the stream arrived: its group moves. */
  recordEvent(stream: IWatchedStream, now: MonotonicTime): void {
    this.#limitsOf(stream).recordEvent(stream, now);
    stream.lastEventAt = now;
    const group = this.#groupOf(stream.group, now);
    group.heardAt = now;
    group.suspectUntil = 0;
  }

  removeStream(stream: IWatchedStream): void {
    const group = this.#groups.get(stream.group);
    group?.streams.delete(stream);
  }

  /** The group was seen to refuse or to break off: it is not used for a while. */
  suspect(name: string, now: MonotonicTime): void {
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
        continue;
      }
      if (this.#isInDoubt(group, now)) {
        if (now >= group.suspectUntil) {
          groups.push(name);
        }
        group.suspectUntil = now + SUSPICION_TIME;
      }
      const isStill = this.#isStill(group, now);
      for (const stream of group.streams) {
        if (isStill || this.#isAlone(stream, now)) {
          streams.push(stream);
        }
      }
    }
    return { suspectedGroups: groups, stalledStreams: streams };
  }

  /** Silence of all streams; each has its own limit and the longest counts. */
  #isInDoubt(group: IWatchedGroup, now: MonotonicTime): boolean {
    const silence = now - group.heardAt;
    return [...group.streams].every(
      (stream) => silence > this.#limitsOf(stream).suspicionLimit(stream),
    );
  }

  #isStill(group: IWatchedGroup, now: MonotonicTime): boolean {
    const silence = now - group.heardAt;
    return [...group.streams].every(
      (stream) => silence > this.#limitsOf(stream).stallLimit(stream),
    );
  }

  #isAlone(stream: IWatchedStream, now: MonotonicTime): boolean {
    const since = stream.lastEventAt ?? stream.sentAt;
    const limit = this.#limitsOf(stream).suspicionLimit(stream) * ALONE_FACTOR;
    return now - since > limit;
  }

  #limitsOf({ model }: IWatchedStream): SilenceLimits {
    let limits = this.#limits.get(model);
    if (limits === undefined) {
      limits = new SilenceLimits();
      this.#limits.set(model, limits);
    }
    return limits;
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
        if (stream.lastEventAt !== null) {
          stream.lastEventAt = Math.min(now, stream.lastEventAt + gap);
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
