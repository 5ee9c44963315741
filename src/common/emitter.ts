/** Events between services of one process. */
import type { IDisposable } from "./disposable.ts";

/** Registers a listener; disposing the result removes it. */
export type EventSource<T> = (listener: (value: T) => void) => IDisposable;

/** Emits values to all registered listeners, in order of registration. */
export class Emitter<T> implements IDisposable {
  readonly #listeners = new Set<(value: T) => void>();

  /** The part of the emitter that listeners register with. */
  readonly event: EventSource<T> = (listener) => {
    this.#listeners.add(listener);
    return { dispose: () => this.#listeners.delete(listener) };
  };

  fire(value: T): void {
    for (const listener of [...this.#listeners]) {
      listener(value);
    }
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
