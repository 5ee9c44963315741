/** How often something recurs that fills the log if each time is logged. */
import type { IClock } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";

/** Shortest time between two lines of a kind, milliseconds. */
const LINE_PERIOD = 1_000;

/** Kinds that are counted apart; one more resets all counts. */
const MAXIMUM_KINDS = 1_000;

interface IOccurrence {
  count: number;
  loggedAt: MonotonicTime;
}

/** Counts occurrences of each kind between two lines. */
export class Occurrences {
  readonly #clock: IClock;
  readonly #kinds = new Map<string, IOccurrence>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /** Counts one; returns the count for a line, or null if none is due. */
  count(kind: string): number | null {
    const now = this.#clock.now();
    const seen = this.#get(kind);
    seen.count += 1;
    if (now - seen.loggedAt < LINE_PERIOD) {
      return null;
    }
    const { count } = seen;
    seen.count = 0;
    seen.loggedAt = now;
    return count;
  }

  #get(kind: string): IOccurrence {
    const seen = this.#kinds.get(kind);
    if (seen !== undefined) {
      return seen;
    }
    if (this.#kinds.size >= MAXIMUM_KINDS) {
      this.#kinds.clear();
    }
    const first = { count: 0, loggedAt: Number.NEGATIVE_INFINITY };
    this.#kinds.set(kind, first);
    return first;
  }
}
