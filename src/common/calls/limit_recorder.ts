/** Tells operators which limits on callers are reached, and how often. */
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";

/** Shortest time between two lines on the same limit, milliseconds. */
const LINE_PERIOD = 1_000;

/** What callers take of one process, and is bounded in sum. */
export enum ProcessLimit {
  /** Requests were discarded or refused for the memory that they take. */
  RequestMemory = "request_memory",
  /** Connections were closed to accept others. */
  Connections = "connections",
  /** A connection was closed because its caller read no answers. */
  UnreadAnswers = "unread_answers",
  /** A call was refused because too many are open. */
  OpenCalls = "open_calls",
}

interface IOccurrences {
  count: number;
  loggedAt: MonotonicTime;
}

/** Counts how often each limit is reached, and logs it once a second. */
export class LimitRecorder {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  readonly #occurrences = new Map<ProcessLimit, IOccurrences>();

  constructor(parts: {
    readonly clock: IClock;
    readonly log: ILog;
    readonly metrics: IMetrics;
  }) {
    this.#clock = parts.clock;
    this.#log = parts.log;
    this.#metrics = parts.metrics;
  }

  record(limit: ProcessLimit): void {
    const now = this.#clock.now();
    const seen = this.#occurrences.get(limit) ?? {
      count: 0,
      loggedAt: Number.NEGATIVE_INFINITY,
    };
    seen.count += 1;
    this.#occurrences.set(limit, seen);
    this.#metrics.count("limits_reached", { limit });
    if (now - seen.loggedAt >= LINE_PERIOD) {
      this.#log.warn("limit_reached", { limit, count: seen.count });
      seen.count = 0;
      seen.loggedAt = now;
    }
  }
}
