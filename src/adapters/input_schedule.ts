/**
 * Shares the time that a process spends on reading what others send. A few
 * connections that send as fast as they can would otherwise take whole turns of
 * the event loop, and with them the time of all other work.
 */

/** Time of a turn of the event loop that goes into reading, milliseconds. */
const TURN_TIME = 10;

/** Time of a turn beyond that which is left for short inputs, milliseconds. */
const SHORT_INPUT_TIME = 10;

/** Time that an input may take at once while others wait, milliseconds. */
const QUANTUM = 1;

/** Input that is read piece by piece. */
export interface IScheduledInput {
  /** Reads the next piece; returns whether another one can be read at once. */
  readPiece(): boolean;
}

/**
 * Reads inputs in turn, some pieces of each at a time. Those that begin to wait
 * alternate with those that wait on, so that neither holds up the other.
 */
export class InputSchedule {
  /** Inputs that have begun to wait. */
  readonly #beginning = new Set<IScheduledInput>();
  /** Inputs that have been read since, the longest unread first. */
  readonly #waiting = new Set<IScheduledInput>();
  /** The input whose pieces are being read. */
  #current: IScheduledInput | null = null;
  /** Milliseconds of this turn that went into reading. */
  #spent = 0;
  #hasTurnEnd = false;

  /** Reads an input now or, if the turn's time is spent, in a later turn. */
  add(input: IScheduledInput): void {
    if (this.tryRead(input)) {
      this.#read(input);
    }
  }

  /**
   * Whether an input may read a piece now, by itself; it is read in a later turn
   * if not. It reports the time with {@link recordTime}.
   *
   * @param isShort - whether it has taken little time so far
   */
  tryRead(input: IScheduledInput, isShort = false): boolean {
    this.#scheduleTurnEnd();
    if (input === this.#current) {
      return false;
    }
    const mayRead = isShort
      ? this.#spent < TURN_TIME + SHORT_INPUT_TIME
      : this.#spent < TURN_TIME && this.#isEmpty;
    if (!mayRead && !this.#waiting.has(input)) {
      this.#beginning.add(input);
    }
    return mayRead;
  }

  /** @param time - milliseconds that an input has taken by itself */
  recordTime(input: IScheduledInput, time: number): void {
    // The time of the current input is measured as a whole.
    this.#spent += input === this.#current ? 0 : time;
  }

  delete(input: IScheduledInput): void {
    this.#beginning.delete(input);
    this.#waiting.delete(input);
  }

  get #isEmpty(): boolean {
    return this.#beginning.size === 0 && this.#waiting.size === 0;
  }

  /** Reads pieces of an input until it has no more or has taken enough. */
  #read(input: IScheduledInput): void {
    const startedAt = performance.now();
    const outer = this.#current;
    this.#current = input;
    let hasMore = true;
    let time = 0;
    while (hasMore && time < QUANTUM) {
      hasMore = input.readPiece();
      time = performance.now() - startedAt;
    }
    this.#current = outer;
    this.#spent += time;
    if (hasMore) {
      this.#beginning.delete(input);
      this.#waiting.add(input);
    }
  }

  #scheduleTurnEnd(): void {
    if (!this.#hasTurnEnd) {
      this.#hasTurnEnd = true;
      setImmediate(() => this.#startTurn());
    }
  }

  #startTurn(): void {
    this.#hasTurnEnd = false;
    this.#spent = 0;
    let preferred = this.#beginning;
    while (this.#spent < TURN_TIME && !this.#isEmpty) {
      const [input] = preferred;
      if (input !== undefined) {
        preferred.delete(input);
        this.#read(input);
      }
      preferred =
        preferred === this.#beginning ? this.#waiting : this.#beginning;
    }
    // Also after the last input, as its time counts for this turn only.
    if (!this.#isEmpty || this.#spent > 0) {
      this.#scheduleTurnEnd();
    }
  }
}
