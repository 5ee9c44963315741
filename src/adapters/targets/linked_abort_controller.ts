/** Aborts one call when any of several signals aborts. */

/** Linked to its source signals until it is disposed after the call. */
export class LinkedAbortController implements Disposable {
  readonly #controller = new AbortController();
  readonly #sources: Set<AbortSignal>;
  readonly #onSourceAbort = () => this.#controller.abort();

  constructor(sources: readonly AbortSignal[]) {
    this.#sources = new Set(sources);
    for (const source of sources) {
      source.addEventListener("abort", this.#onSourceAbort, { once: true });
      if (source.aborted) {
        this.#onSourceAbort();
      }
    }
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Stops listening to one source signal. */
  unlink(source: AbortSignal): void {
    source.removeEventListener("abort", this.#onSourceAbort);
    this.#sources.delete(source);
  }

  [Symbol.dispose](): void {
    for (const source of this.#sources) {
      source.removeEventListener("abort", this.#onSourceAbort);
    }
  }
}
