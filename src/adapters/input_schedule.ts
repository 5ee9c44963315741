/**
 * Shares the time that a process spends on reading what others send. A few
 * connections that send as fast as they can would otherwise take whole turns of
 * the event loop, and with them the time of all other work.
 */

/** Time of a turn of the event loop that goes into reading, milliseconds. */
const TURN_TIME = 10;

/** Input that is read piece by piece. */
export interface IScheduledInput {
  /** Reads the next piece; returns whether another one can be read at once. */
  readPiece(): boolean;
}

/**
 * Reads inputs in turn, a piece of each at a time. In each turn those that have
 * taken least time come first, so that a short input is not behind long ones.
 */
export class InputSchedule {
  readonly #waiting = new Set<IScheduledInput>();
  /** Milliseconds that went into inputs which have not been read to their end. */
  readonly #taken = new Map<IScheduledInput, number>();
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
   */
  tryRead(input: IScheduledInput): boolean {
    this.#scheduleTurnEnd();
    if (this.#waiting.size > 0 || this.#spent >= TURN_TIME) {
      this.#waiting.add(input);
      return false;
    }
    return true;
  }

  /** @param time - milliseconds that an input has taken by itself */
  recordTime(input: IScheduledInput, time: number): void {
    this.#spent += time;
    if (this.#waiting.has(input)) {
      this.#taken.set(input, (this.#taken.get(input) ?? 0) + time);
    }
  }

  delete(input: IScheduledInput): void {
    this.#waiting.delete(input);
    this.#taken.delete(input);
  }

  #read(input: IScheduledInput): void {
    const startedAt = performance.now();
    const hasMore = input.readPiece();
    const time = performance.now() - startedAt;
    this.#spent += time;
    if (hasMore) {
      this.#waiting.add(input);
      this.#taken.set(input, (this.#taken.get(input) ?? 0) + time);
    } else {
      this.delete(input);
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
    const taken = (input: IScheduledInput) => this.#taken.get(input) ?? 0;
    const waiting = [...this.#waiting];
    for (const input of waiting.sort((a, b) => taken(a) - taken(b))) {
      if (this.#spent >= TURN_TIME) {
        break;
      }
      // It may have been closed while another one was read.
      if (this.#waiting.delete(input)) {
        this.#read(input);
      }
    }
    if (this.#waiting.size > 0) {
      this.#scheduleTurnEnd();
    }
  }
}
