/** Faults of the platform itself, as opposed to the network in front of it. */

/** Body of `PUT /control`; absent fields leave their fault unchanged. */
export interface IFaultControl {
  /** Versions as of which reads of a kind are answered; null ends it. */
  readonly stale?: Readonly<Record<string, number | null>>;
  /** Kinds whose watches send an object's older state after its newer one. */
  readonly late_events?: readonly string[];
  /** Milliseconds by which answers about objects are delayed. */
  readonly delay_ms?: number;
  /** Calls per second above which calls are refused; 0 for no limit. */
  readonly calls_per_second?: number;
  /** Version to which the whole store is reverted. */
  readonly restore?: number;
}

/** Milliseconds over which calls are counted. */
const RATE_WINDOW = 1_000;

/** Holds the active faults and counts calls for the rate limit. */
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

  /** Version as of which reads of a kind are answered, if they are stale. */
  staleVersion(kind: string): number | undefined {
    return this.#stale.get(kind);
  }

  sendsLateEvents(kind: string): boolean {
    return this.#lateEvents.includes(kind);
  }

  /** Counts a call; true if it exceeds the rate limit and must be refused. */
  isOverRate(now: number): boolean {
    if (now - this.#windowStart >= RATE_WINDOW) {
      this.#windowStart = now;
      this.#callsInWindow = 0;
    }
    this.#callsInWindow += 1;
    const limit = this.#callsPerSecond;
    return limit > 0 && this.#callsInWindow > limit;
  }

  /** Waits for the time by which answers are delayed. */
  async waitDelay(): Promise<void> {
    if (this.#delay > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.#delay));
    }
  }
}
