/** Cancels one call by any of several signals, each of which may be ignored. */

/** One call's cancelling; disposed when the call is done. */
export class LinkedAbortController implements Disposable {
  readonly #controller = new AbortController();
  readonly #sources: Set<AbortSignal>;
  readonly #abort = () => this.#controller.abort();

  constructor(sources: readonly AbortSignal[]) {
    this.#sources = new Set(sources);
    for (const source of sources) {
      source.addEventListener("abort", this.#abort, { once: true });
      if (source.aborted) {
        this.#abort();
      }
    }
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Stops listening to one of the signals. */
  unlink(source: AbortSignal): void {
    source.removeEventListener("abort", this.#abort);
    this.#sources.delete(source);
  }

  [Symbol.dispose](): void {
    for (const source of this.#sources) {
      source.removeEventListener("abort", this.#abort);
    }
  }
}
