/**
 * The end of a connection whose answer has no length, and so ends with it. The
 * other side may close its direction and then reset the connection, or have the
 * system do so because it left the request unread: such an answer is broken off.
 * Node reports the close alone, and stops reading there.
 */
import type { Socket } from "node:net";
import type { IDisposable } from "../../common/disposable.ts";
import { afterDelay } from "../event_loop/poll_timer.ts";

/** Milliseconds from a close to its reset; longer than a round trip. */
const RESET_DELAY = 50;

/** Milliseconds in which the other side may read nothing of the request. */
const LONGEST_PAUSE = 1_000;

/** Servers ignore an empty line after a request. */
const EMPTY_LINE = "\r\n";

/** The code of {@link UnreadRequestError}. */
export const UNREAD_CODE = "REQUEST_UNREAD";

/** Waits until the end of a connection is known to be no reset. */
export class ConnectionEnd implements IDisposable {
  readonly #socket: Socket;
  readonly #onConfirmed: () => void;
  #timer: IDisposable;

  /**
   * @param socket - its other side has closed; destroyed if the answer is broken
   * @param onConfirmed - called if the answer is whole
   */
  constructor(socket: Socket, onConfirmed: () => void) {
    this.#socket = socket;
    this.#onConfirmed = onConfirmed;
    this.#timer =
      socket.writableLength === 0 ? this.#awaitReset() : this.#awaitWrite();
  }

  dispose(): void {
    this.#timer.dispose();
  }

  /** Waits for the rest of the request; a reset fails it. */
  #awaitWrite(): IDisposable {
    const socket = this.#socket;
    let immediate: NodeJS.Immediate | undefined;
    // The socket restarts its own timeout with each part that is written. The
    // immediate lets a process that is behind write once more.
    const onTimeout = () => {
      immediate = setImmediate(() => {
        socket.destroy(new UnreadRequestError());
      });
    };
    socket.setTimeout(LONGEST_PAUSE, onTimeout);
    socket.write("", (error) => {
      if (!error) {
        this.#timer.dispose();
        this.#timer = this.#awaitReset();
      }
    });
    return {
      dispose: () => {
        socket.setTimeout(0, onTimeout);
        clearImmediate(immediate);
      },
    };
  }

  /**
   * Writes only after the delay: the other side may have closed both directions,
   * and then resets the connection because of what it receives.
   */
  #awaitReset(): IDisposable {
    return afterDelay(RESET_DELAY, () => {
      // A failed write destroys the socket, with its error.
      this.#socket.write(EMPTY_LINE, (error) => {
        if (!error) {
          this.#onConfirmed();
        }
      });
    });
  }
}

/** The other side has closed the connection without reading the request. */
export class UnreadRequestError extends Error {
  readonly code = UNREAD_CODE;

  constructor() {
    super("the connection was closed before the request was written");
  }
}
