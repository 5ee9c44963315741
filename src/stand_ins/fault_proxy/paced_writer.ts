/** Passes bytes from one socket to another, no faster than they are read. */
import type { Socket } from "node:net";

/** Bytes that may wait for the reader before the other socket is paused. */
const MOST_WAITING = 1_048_576;

/** One direction of a connection. */
export class PacedWriter {
  readonly #from: Socket;
  readonly #to: Socket;
  /** Bytes that are delayed. */
  #delayed = 0;

  constructor(from: Socket, to: Socket) {
    this.#from = from;
    this.#to = to;
    // A closed socket takes nothing more; the other one's end is still noticed.
    for (const event of ["drain", "close"]) {
      to.on(event, () => this.#update());
    }
  }

  /** @param delay - milliseconds */
  write(bytes: Uint8Array, delay = 0): void {
    if (delay === 0) {
      this.#to.write(bytes);
    } else {
      this.#delayed += bytes.length;
      setTimeout(() => {
        this.#delayed -= bytes.length;
        this.#to.write(bytes);
        this.#update();
      }, delay);
    }
    this.#update();
  }

  #update(): void {
    const { destroyed, writableLength } = this.#to;
    const waiting = this.#delayed + writableLength;
    if (!destroyed && waiting > MOST_WAITING) {
      this.#from.pause();
    } else {
      this.#from.resume();
    }
  }
}
