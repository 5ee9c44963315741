/** How strongly crashes speak against a part of a prompt. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import type { ICrashCause } from "./types.ts";

/** Number of crashes that show a cause. */
export const FEWEST_CRASHES = 4;

/**
 * Milliseconds; crashes that are closer count against a part as often as it had
 * different calls in them.
 */
const SIMULTANEOUS_TIME = 150;

/**
 * Number of crashes at the same time beyond which they have one cause from
 * outside, and count less against a part that only some of them had.
 */
const MOST_INDEPENDENT_CRASHES = 3;

/** Number of calls in an engine beyond which a part is common. */
const COMMON_CALLS = 2;

/**
 * Milliseconds until crashes count against a part that is common, or that
 * answers went on with before: all answers that were begun on it have gone on by
 * then, or broken off. To refuse such a part is the greater harm.
 */
export const COMMON_SETTLING_TIME = 1_500;

/**
 * The same for crashes that one request explains, and a part that answers went
 * on with before. Until then the next answers have shown the part sound, unless
 * it has begun to crash engines by itself, such as under other weights.
 */
export const EXPLAINED_SETTLING_TIME = 5_000;

/** Crashes under one request from which it explains them. */
const REPEATED_CRASHES = 2;

/** Calls in a crashed engine that had one part. */
export interface ICounts {
  calls: number;
  newCalls: number;
}

/** What is known of a crash. */
export interface ICrash {
  readonly service: ServiceName;
  readonly receivedAt: MonotonicTime;
  at: MonotonicTime;
  readonly suspects: Map<string, ICounts>;
  /** Fingerprints of the calls that had hardly begun. */
  readonly requests: Set<string>;
}

/** A part that crashes speak against. */
export interface ICandidate {
  readonly part: string;
  readonly crashes: ICrash[];
  /** Whether an answer went on with it before the crashes. */
  readonly wasProved: boolean;
  calls: number;
  newCalls: number;
}

/** Whether a part is so common, or in such use, that others are likelier. */
export function isProbablySound({
  calls,
  crashes,
  wasProved,
}: ICandidate): boolean {
  return wasProved || calls > COMMON_CALLS * crashes.length;
}

/**
 * Whether all that may speak for a part has been reported.
 *
 * @param repeated - crashes that one request explains
 */
export function hasSettled(
  candidate: ICandidate,
  repeated: ReadonlySet<ICrash>,
  now: MonotonicTime,
): boolean {
  const { crashes, wasProved } = candidate;
  const counted = crashes.filter((crash) => {
    const isExplained = wasProved && repeated.has(crash);
    const time = isExplained ? EXPLAINED_SETTLING_TIME : COMMON_SETTLING_TIME;
    return now - crash.receivedAt >= time;
  });
  return !isProbablySound(candidate) || counted.length >= FEWEST_CRASHES;
}

/** The crashes that had a request in common with another one. */
export function repeatedCrashes(
  crashes: readonly ICrash[],
): ReadonlySet<ICrash> {
  const counts = new Map<string, number>();
  for (const request of crashes.flatMap(({ requests }) => [...requests])) {
    counts.set(request, (counts.get(request) ?? 0) + 1);
  }
  const repeated = crashes.filter(({ requests }) =>
    [...requests].some((one) => (counts.get(one) ?? 0) >= REPEATED_CRASHES),
  );
  return new Set(repeated);
}

/**
 * The weighted number of crashes that speak against a part.
 *
 * @param all - all crashes
 * @param explained - those that known or likely causes explain; without the
 *   part, they say nothing of a cause from outside
 */
export function weigh(
  { part, crashes }: ICandidate,
  all: readonly ICrash[],
  explained: ReadonlySet<ICrash>,
): number {
  const unexplained = all.filter(
    (crash) => crash.suspects.has(part) || !explained.has(crash),
  );
  const inOrder = [...crashes].sort((one, other) => one.at - other.at);
  let evidence = 0;
  let counted = Number.NEGATIVE_INFINITY;
  for (const { at } of inOrder) {
    if (at - counted > SIMULTANEOUS_TIME) {
      counted = at;
      const isNear = (crash: ICrash) =>
        Math.abs(crash.at - at) <= SIMULTANEOUS_TIME;
      const near = unexplained.filter(isNear).length;
      const same = crashes.filter(
        (crash) => crash.at >= at && crash.at - at <= SIMULTANEOUS_TIME,
      );
      const share = near > MOST_INDEPENDENT_CRASHES ? same.length / near : 1;
      evidence += share * Math.min(same.length, Math.max(1, newCalls(same)));
    }
  }
  return evidence;

  /** A call and its retry that meet two crashes at once count as one. */
  function newCalls(some: readonly ICrash[]): number {
    return some.reduce(
      (sum, { suspects }) => sum + (suspects.get(part)?.newCalls ?? 0),
      0,
    );
  }
}

/** Whether a crash had a call that may contain all parts of a cause. */
export function explains(
  { parts }: ICrashCause,
  { suspects }: ICrash,
): boolean {
  return parts.every((part) => suspects.has(part));
}
