/**
 * Limits the time of an HTTP call. The HTTP library checks its own timeouts
 * about once a second, and does not end a request that still waits for a
 * connection when its signal aborts. A call with a limit of 200 ms to an
 * instance without power would only fail after a second, and its loss would be
 * detected later.
 */
import type { IDisposable } from "../common/disposable.ts";
import { afterDelay } from "./event_loop/poll_timer.ts";

/** The call timed out; the other side may or may not have acted. */
export class TimeLimitError extends Error {
  readonly code = "TIME_LIMIT";

  /** @param limit - milliseconds */
  constructor(limit: number) {
    super(`no answer within ${limit} ms`);
  }
}

/**
 * @param limit - milliseconds; an answer that has arrived by then is in time
 * @param work - receives a signal that aborts at the limit
 * @throws {TimeLimitError} at the limit, even if the work ignores the signal
 */
export async function withTimeLimit<T>(
  limit: number,
  work: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const abort = new AbortController();
  let timer: IDisposable | undefined;
  const timeLimit = new Promise<never>((_, reject) => {
    timer = afterDelay(limit, () => {
      const error = new TimeLimitError(limit);
      reject(error);
      abort.abort(error);
    });
  });
  const running = work(abort.signal);
  // A failure after the limit has already been reported as a timeout.
  running.catch(() => undefined);
  try {
    return await Promise.race([running, timeLimit]);
  } finally {
    timer?.dispose();
  }
}
