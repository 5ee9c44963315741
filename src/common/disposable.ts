/** Ownership of resources that must be released: timers, listeners, sockets. */

/** A resource that is released once, synchronously. */
export interface IDisposable {
  dispose(): void;
}

/** Releases all registered items, newest first. */
export class DisposableStore implements IDisposable {
  readonly #items: IDisposable[] = [];
  #isDisposed = false;

  /**
   * Takes ownership of an item; if the store is already disposed, disposes it
   * immediately.
   */
  add<T extends IDisposable>(item: T): T {
    if (this.#isDisposed) {
      item.dispose();
    } else {
      this.#items.push(item);
    }
    return item;
  }

  dispose(): void {
    this.#isDisposed = true;
    while (this.#items.length > 0) {
      this.#items.pop()?.dispose();
    }
  }
}
