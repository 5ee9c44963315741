/** Faults of the platform itself, as opposed to those of the way to it. */

/** What `PUT /control` takes; what is absent stays as it is. */
export interface IFaultControl {
  /** Reads of these kinds are answered as of a version; null ends it. */
  readonly stale?: Readonly<Record<string, number | null>>;
  /** Kinds whose watches bring an object's older state after its newer. */
  readonly late_events?: readonly string[];
  /** Milliseconds added to each answer about objects. */
  readonly delay_ms?: number;
  /** Calls a second beyond which calls are refused; 0 is no limit. */
  readonly calls_per_second?: number;
  /** Puts the whole store back to what it was at a version. */
  readonly restore?: number;
}

const RATE_WINDOW = 1_000;

/** Which faults are on, and the calls that count toward the rate. */
export class PlatformFaults {
  readonly #stale = new Map<string, number>();
  #lateEvents: readonly string[] = [];
  #delay = 0;
  #callsPerSecond = 0;
  #windowStart = 0;
  #callsInWindow = 0;

  apply(control: IFaultControl): void {
    for (const [kind, version] of Object.entries(control.stale ?? {})) {
      if (version === null) {
        this.#stale.delete(kind);
      } else {
        this.#stale.set(kind, version);
      }
    }
    this.#lateEvents = control.late_events ?? this.#lateEvents;
    this.#delay = control.delay_ms ?? this.#delay;
    this.#callsPerSecond = control.calls_per_second ?? this.#callsPerSecond;
  }

  /** The version that reads of a kind are answered as of, if stale. */
  staleVersion(kind: string): number | undefined {
    return this.#stale.get(kind);
  }

  sendsLateEvents(kind: string): boolean {
    return this.#lateEvents.includes(kind);
  }

  /** Counts a call; true when it is over the rate and must be refused. */
  isOverRate(now: number): boolean {
    if (now - this.#windowStart >= RATE_WINDOW) {
      this.#windowStart = now;
      this.#callsInWindow = 0;
    }
    this.#callsInWindow += 1;
    const limit = this.#callsPerSecond;
    return limit > 0 && this.#callsInWindow > limit;
  }

  /** Resolves after the time by which answers are slowed. */
  async waitDelay(): Promise<void> {
    if (this.#delay > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.#delay));
    }
  }
}
