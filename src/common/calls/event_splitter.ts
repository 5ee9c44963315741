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

/** Bytes of the smallest buffer. */
const SHORTEST_BUFFER = 256;

/** A complete event with the blank line that ends it. */
export interface ICompleteEvent {
  readonly bytes: Uint8Array;
  /** Null if the event has none. */
  readonly id: string | null;
}

const EMPTY = new Uint8Array(0);

/** Splits the data of one response; looks at each byte once. */
export class EventSplitter {
  readonly #decoder = new TextDecoder();
  /** Begins with the part of an event that is not complete. */
  #buffer: Uint8Array = EMPTY;
  /** Bytes of that part; all of them have been looked at. */
  #length = 0;
  /** Whether nothing has followed that part's last line break. */
  #isLineEmpty = true;

  /** Whether part of an event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#length > 0;
  }

  /** Bytes that the buffer takes. */
  get bufferLength(): number {
    return this.#buffer.length;
  }

  get isTooLong(): boolean {
    return this.#length > LONGEST_EVENT;
  }

  /** Adds data and returns the events that are now complete. */
  push(data: Uint8Array): readonly ICompleteEvent[] {
    const looked = this.#length;
    const bytes = looked === 0 ? data : this.#append(data);
    const events: ICompleteEvent[] = [];
    let start = 0;
    let end = this.#findEnd(bytes, { start, from: looked });
    while (end !== null) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: this.#idOf(event) });
      start = end;
      end = this.#findEnd(bytes, { start, from: start });
    }
    if (looked === 0 || start > 0) {
      this.#keep(bytes.subarray(start));
    } else {
      this.#length = bytes.length;
    }
    return events;
  }

  /** Returns the buffered part with data behind it. */
  #append(data: Uint8Array): Uint8Array {
    const length = this.#length + data.length;
    if (length > this.#buffer.length) {
      const doubled = Math.max(length, this.#buffer.length * 2);
      const grown = new Uint8Array(doubled);
      grown.set(this.#buffer.subarray(0, this.#length));
      this.#buffer = grown;
    }
    this.#buffer.set(data, this.#length);
    return this.#buffer.subarray(0, length);
  }

  /** Copies the part that is left; the events before it stay as they are. */
  #keep(part: Uint8Array): void {
    this.#length = part.length;
    this.#buffer =
      part.length === 0
        ? EMPTY
        : new Uint8Array(Math.max(part.length, SHORTEST_BUFFER));
    this.#buffer.set(part);
  }

  /**
   * The end of an event; null while it is incomplete.
   *
   * @param place.start - where the event begins
   * @param place.from - what comes before has been looked at
   */
  #findEnd(
    bytes: Uint8Array,
    { start, from }: { readonly start: number; readonly from: number },
  ): number | null {
    let isLineEmpty = from > start ? this.#isLineEmpty : true;
    for (let index = from; index < bytes.length; index += 1) {
      if (bytes[index] === NEWLINE) {
        if (isLineEmpty && index > start) {
          return index + 1;
        }
        isLineEmpty = true;
      } else if (bytes[index] !== CARRIAGE_RETURN) {
        isLineEmpty = false;
      }
    }
    this.#isLineEmpty = isLineEmpty;
    return null;
  }

  #idOf(event: Uint8Array): string | null {
    const match = ID_LINE.exec(this.#decoder.decode(event));
    return match?.[1]?.replace(/\r$/, "") ?? null;
  }
}
