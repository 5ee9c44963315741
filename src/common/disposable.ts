/** Ownership of things that must be released: timers, listeners, sockets. */

/** Something released once, synchronously. */
export interface IDisposable {
  dispose(): void;
}

/** Releases everything registered with it, newest first. */
export class DisposableStore implements IDisposable {
  readonly #items: IDisposable[] = [];
  #isDisposed = false;

  /** Takes ownership of an item; released at once if the store already is. */
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
