/**
 * Bounds a call over HTTP by time. The library looks at its own timeouts about
 * once a second, and does not end a request that still waits for a connection
 * when its signal aborts: a call bounded by 200 ms to an instance without
 * power would come back after a second, and so would the news that it is gone.
 */

/** The call took too long; whether the other side acted is not known. */
export class TimeLimitError extends Error {
  readonly code = "TIME_LIMIT";

  /** @param limit - milliseconds */
  constructor(limit: number) {
    super(`no answer within ${limit} ms`);
  }
}

/**
 * @param limit - milliseconds
 * @param work - given a signal that aborts at the limit
 * @throws {TimeLimitError} at the limit, whatever the work does
 */
export async function withTimeLimit<T>(
  limit: number,
  work: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const abort = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const limited = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      const error = new TimeLimitError(limit);
      reject(error);
      abort.abort(error);
    }, limit);
  });
  const running = work(abort.signal);
  // After the limit its failure has been told already.
  running.catch(() => undefined);
  try {
    return await Promise.race([running, limited]);
  } finally {
    clearTimeout(timer);
  }
}
