/**
 * Cuts a stream of bytes into whole events and reads their ids. A target may
 * stop in the middle of an event; passing its half on would join it to the
 * first event of the run that goes on elsewhere, and the caller would read
 * one event made of two.
 */

const NEWLINE = 10;
const CARRIAGE_RETURN = 13;

/** The line that gives an event's id, such as `id: 12`. */
const ID_LINE = /^id:[ ]?(.*)$/m;

/** Longest event that is held back, bytes; a longer one is a broken stream. */
export const LONGEST_EVENT = 1_048_576;

/** One whole event with the blank line that ends it. */
export interface IWholeEvent {
  readonly bytes: Uint8Array;
  /** Null where the event has none. */
  readonly id: string | null;
}

const EMPTY = new Uint8Array(0);

/** Splits the pieces of one run. */
export class EventSplitter {
  readonly #decoder = new TextDecoder();
  #held: Uint8Array = EMPTY;

  /** Whether part of an event is held back. */
  get hasPartialEvent(): boolean {
    return this.#held.length > 0;
  }

  get isTooLong(): boolean {
    return this.#held.length > LONGEST_EVENT;
  }

  /** Takes a piece and returns the events that are whole now. */
  push(piece: Uint8Array): readonly IWholeEvent[] {
    const bytes = this.#held.length === 0 ? piece : join(this.#held, piece);
    const events: IWholeEvent[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end !== null) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: this.#idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.#held = bytes.slice(start);
    return events;
  }

  #idOf(event: Uint8Array): string | null {
    const match = ID_LINE.exec(this.#decoder.decode(event));
    return match?.[1]?.replace(/\r$/, "") ?? null;
  }
}

/** Where the event that begins at `start` ends; null while it is not whole. */
function endOfEvent(bytes: Uint8Array, start: number): number | null {
  let isLineEmpty = true;
  for (let index = start; index < bytes.length; index += 1) {
    if (bytes[index] === NEWLINE) {
      if (isLineEmpty && index > start) {
        return index + 1;
      }
      isLineEmpty = true;
    } else if (bytes[index] !== CARRIAGE_RETURN) {
      isLineEmpty = false;
    }
  }
  return null;
}

function join(one: Uint8Array, other: Uint8Array): Uint8Array {
  const joined = new Uint8Array(one.length + other.length);
  joined.set(one);
  joined.set(other, one.length);
  return joined;
}
