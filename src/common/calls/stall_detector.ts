/**
 * Detects groups that stall. When a member of a serving group dies, the head
 * keeps accepting requests but makes no progress, and reports this only after
 * the platform's stall time of some seconds. Undetected, each request sent
 * there in the meantime waits for its deadline, started streams pause for
 * seconds, and the 99th percentile of the first event is twenty times the
 * median.
 *
 * A healthy group answers all its streams in step. When all of them have been
 * silent for longer than {@link SilenceLimits} allow, the group is suspected,
 * and soon after its streams are retried elsewhere. One silent stream among
 * others that progress says nothing about the group; it is abandoned only after
 * {@link ALONE_FACTOR} times as long. A pause of this process shifts all
 * reference times by its length.
 */
import type { MonotonicTime } from "../types.ts";
import { SilenceLimits } from "./silence_limits.ts";
import type { IWatchedStream } from "./silence_limits.ts";

/** How much longer a single stream may be silent than its whole group. */
const ALONE_FACTOR = 4;

/** A longer gap between two checks is a pause of this process, milliseconds. */
const LONGEST_CHECK_GAP = 80;

/** How long a suspected group gets no calls, milliseconds. */
const SUSPICION_TIME = 1_500;

interface IWatchedGroup {
  readonly streams: Set<IWatchedStream>;
  lastEventAt: MonotonicTime;
  suspectedUntil: MonotonicTime;
}

/** Result of one check. */
export interface IStalls {
  /** Newly suspected groups. */
  readonly suspectedGroups: readonly string[];
  /** Streams to be retried elsewhere. */
  readonly stalledStreams: readonly IWatchedStream[];
}

/** Watches the streams of all groups in one process. */
export class StallDetector {
  readonly #groups = new Map<string, IWatchedGroup>();
  /** Streams that say nothing about their groups. */
  readonly #detached = new Set<IWatchedStream>();
  /** By model. */
  readonly #limits = new Map<string, SilenceLimits>();
  #checkedAt: MonotonicTime | null = null;

  /** Whether a group is suspected and should get no calls. */
  isSuspected(group: string, now: MonotonicTime): boolean {
    return now < (this.#groups.get(group)?.suspectedUntil ?? 0);
  }

  /** Groups suspected at this time. */
  suspectedGroups(now: MonotonicTime): readonly string[] {
    return [...this.#groups]
      .filter(([, { suspectedUntil }]) => now < suspectedUntil)
      .map(([name]) => name);
  }

  recordSend(stream: IWatchedStream): void {
    const group = this.#groupOf(stream.group, stream.sentAt);
    if (group.streams.size === 0) {
      group.lastEventAt = stream.sentAt;
    }
    group.streams.add(stream);
  }

  /** Records an event, which clears the suspicion of the stream's group. */
  recordEvent(stream: IWatchedStream, now: MonotonicTime): void {
    this.#limitsOf(stream).recordEvent(stream, now);
    stream.lastEventAt = now;
    const group = this.#groupOf(stream.group, now);
    group.lastEventAt = now;
    group.suspectedUntil = 0;
  }

  removeStream(stream: IWatchedStream): void {
    const group = this.#groups.get(stream.group);
    group?.streams.delete(stream);
    this.#detached.delete(stream);
  }

  /**
   * Judges a stream alone from now on, as its own path may be what is silent.
   */
  detachStream(stream: IWatchedStream): void {
    const group = this.#groups.get(stream.group);
    group?.streams.delete(stream);
    this.#detached.add(stream);
  }

  /** Ends the suspicion of all groups. */
  clearSuspicions(): void {
    for (const group of this.#groups.values()) {
      group.suspectedUntil = 0;
    }
  }

  /** Suspects a group that refused a call or broke one off. */
  suspect(name: string, now: MonotonicTime): void {
    this.#groupOf(name, now).suspectedUntil = now + SUSPICION_TIME;
  }

  /** Compares the silences with their limits; called every few token steps. */
  check(now: MonotonicTime): IStalls {
    this.#shiftForPause(now);
    const groups: string[] = [];
    const streams: IWatchedStream[] = [];
    for (const [name, group] of this.#groups) {
      if (group.streams.size === 0) {
        this.#forgetUnlessSuspected(name, group, now);
        continue;
      }
      if (this.#isSilent(group, now)) {
        if (now >= group.suspectedUntil) {
          groups.push(name);
        }
        group.suspectedUntil = now + SUSPICION_TIME;
      }
      const isStalled = this.#isStalled(group, now);
      for (const stream of group.streams) {
        if (isStalled || this.#isStreamStalled(stream, now)) {
          streams.push(stream);
        }
      }
    }
    for (const stream of this.#detached) {
      const silence = now - (stream.lastEventAt ?? stream.sentAt);
      if (silence > this.#limitsOf(stream).stallLimit(stream)) {
        streams.push(stream);
      }
    }
    return { suspectedGroups: groups, stalledStreams: streams };
  }

  /** Whether every stream has been silent for longer than its limit. */
  #isSilent(group: IWatchedGroup, now: MonotonicTime): boolean {
    const silence = now - group.lastEventAt;
    return [...group.streams].every(
      (stream) => silence > this.#limitsOf(stream).suspicionLimit(stream),
    );
  }

  #isStalled(group: IWatchedGroup, now: MonotonicTime): boolean {
    const silence = now - group.lastEventAt;
    return [...group.streams].every(
      (stream) => silence > this.#limitsOf(stream).stallLimit(stream),
    );
  }

  #isStreamStalled(stream: IWatchedStream, now: MonotonicTime): boolean {
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

  #shiftForPause(now: MonotonicTime): void {
    const gap = now - (this.#checkedAt ?? now);
    this.#checkedAt = now;
    if (gap <= LONGEST_CHECK_GAP) {
      return;
    }
    for (const group of this.#groups.values()) {
      group.lastEventAt = Math.min(now, group.lastEventAt + gap);
      group.streams.forEach((stream) => shift(stream, gap, now));
    }
    this.#detached.forEach((stream) => shift(stream, gap, now));
  }

  #forgetUnlessSuspected(
    name: string,
    group: IWatchedGroup,
    now: MonotonicTime,
  ): void {
    if (now >= group.suspectedUntil) {
      this.#groups.delete(name);
    }
  }

  #groupOf(name: string, now: MonotonicTime): IWatchedGroup {
    let group = this.#groups.get(name);
    if (group === undefined) {
      group = { streams: new Set(), lastEventAt: now, suspectedUntil: 0 };
      this.#groups.set(name, group);
    }
    return group;
  }
}

/** Moves the reference times of a stream, at most to the present. */
function shift(stream: IWatchedStream, gap: number, now: MonotonicTime): void {
  stream.sentAt = Math.min(now, stream.sentAt + gap);
  if (stream.lastEventAt !== null) {
    stream.lastEventAt = Math.min(now, stream.lastEventAt + gap);
  }
}
