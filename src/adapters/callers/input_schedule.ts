/**
 * Shares the time that a process spends on reading what callers send. A few
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

/** Reads inputs in turn, a piece of each at a time. */
export class InputSchedule {
  readonly #waiting = new Set<IScheduledInput>();
  /** Milliseconds of this turn that went into reading. */
  #spent = 0;
  #hasTurnEnd = false;

  /** Reads an input now or, if the turn's time is spent, in a later turn. */
  add(input: IScheduledInput): void {
    if (this.#waiting.size > 0 || this.#spent >= TURN_TIME) {
      this.#waiting.add(input);
    } else {
      this.#read(input);
    }
    this.#scheduleTurnEnd();
  }

  delete(input: IScheduledInput): void {
    this.#waiting.delete(input);
  }

  #read(input: IScheduledInput): void {
    const startedAt = performance.now();
    if (input.readPiece()) {
      this.#waiting.add(input);
    }
    this.#spent += performance.now() - startedAt;
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
    for (const input of [...this.#waiting]) {
      if (this.#spent >= TURN_TIME) {
        break;
      }
      this.#waiting.delete(input);
      this.#read(input);
    }
    if (this.#waiting.size > 0) {
      this.#scheduleTurnEnd();
    }
  }
}
