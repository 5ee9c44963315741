/**
 * Splits a stream of bytes into complete events and reads their ids. A target
 * may stop in the middle of an event. If that part were passed on, it would be
 * joined to the first event of the target that continues the stream, and the
 * caller would read one event made of two.
 */

const NEWLINE = 10;
const CARRIAGE_RETURN = 13;

/** The line that gives an event's id, such as `id: 12`. */
const ID_LINE = /^id:[ ]?(.*)$/m;

/** Longest event that is buffered, bytes; a longer one is a broken stream. */
export const LONGEST_EVENT = 1_048_576;

/** A complete event with the blank line that ends it. */
export interface ICompleteEvent {
  readonly bytes: Uint8Array;
  /** Null if the event has none. */
  readonly id: string | null;
}

const EMPTY = new Uint8Array(0);

/** Splits the data of one response. */
export class EventSplitter {
  readonly #decoder = new TextDecoder();
  #buffered: Uint8Array = EMPTY;

  /** Whether part of an event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#buffered.length > 0;
  }

  /** Bytes of the part that is buffered. */
  get bufferedLength(): number {
    return this.#buffered.length;
  }

  get isTooLong(): boolean {
    return this.#buffered.length > LONGEST_EVENT;
  }

  /** Adds data and returns the events that are now complete. */
  push(data: Uint8Array): readonly ICompleteEvent[] {
    const bytes =
      this.#buffered.length === 0 ? data : concatenate(this.#buffered, data);
    const events: ICompleteEvent[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end !== null) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: this.#idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.#buffered = bytes.slice(start);
    return events;
  }

  #idOf(event: Uint8Array): string | null {
    const match = ID_LINE.exec(this.#decoder.decode(event));
    return match?.[1]?.replace(/\r$/, "") ?? null;
  }
}

/** The end of the event that begins at `start`; null while it is incomplete. */
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

function concatenate(one: Uint8Array, other: Uint8Array): Uint8Array {
  const joined = new Uint8Array(one.length + other.length);
  joined.set(one);
  joined.set(other, one.length);
  return joined;
}
