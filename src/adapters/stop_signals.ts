/** Stops a process on signals, also those that come during its start. */

/** A process that is started and stopped once. */
export interface IStoppable {
  /** Resolves, for each caller, once it has stopped. */
  stop(): Promise<void>;
}

/**
 * Stops once on SIGTERM or SIGINT, and exits when that is complete. Further
 * signals do not shorten it: callers would lose the calls that are finished
 * meanwhile.
 *
 * @param onReload - called on SIGHUP; by default it does nothing
 */
export function handleSignals<T extends IStoppable>(
  starting: Promise<T>,
  onReload: (started: T) => void = () => undefined,
): void {
  // A failed start is reported by whoever awaits it.
  const started = starting.catch(() => null);
  const stop = async () => {
    await (await started)?.stop();
    process.exit(0);
  };
  const reload = async () => {
    const one = await started;
    if (one !== null) {
      onReload(one);
    }
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("SIGHUP", () => void reload());
}
