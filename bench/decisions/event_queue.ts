/** A fake clock. Events run in order of time, ties in order of scheduling. */

interface IEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Pending events in a binary heap, and the time of the current one. */
export class EventQueue {
  readonly #heap: IEvent[] = [];
  #sequence = 0;
  #now = 0;

  /** Time of the current event, milliseconds. */
  get now(): number {
    return this.#now;
  }

  scheduleAt(time: number, run: () => void): void {
    this.#sequence += 1;
    this.#heap.push({ at: time, order: this.#sequence, run });
    this.#siftUp(this.#heap.length - 1);
  }

  scheduleAfter(delay: number, run: () => void): void {
    this.scheduleAt(this.#now + delay, run);
  }

  /** Runs all events before a time, milliseconds. */
  runUntil(end: number): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.at >= end) {
        return;
      }
      const last = this.#heap.pop() as IEvent;
      if (this.#heap.length > 0) {
        this.#heap[0] = last;
        this.#siftDown();
      }
      this.#now = first.at;
      first.run();
    }
  }

  #siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let first = index;
      if (left < this.#heap.length && this.#isBefore(left, first)) {
        first = left;
      }
      if (right < this.#heap.length && this.#isBefore(right, first)) {
        first = right;
      }
      if (first === index) {
        return;
      }
      this.#swap(first, index);
      index = first;
    }
  }

  #isBefore(one: number, other: number): boolean {
    const a = this.#heap[one] as IEvent;
    const b = this.#heap[other] as IEvent;
    return a.at === b.at ? a.order < b.order : a.at < b.at;
  }

  #swap(one: number, other: number): void {
    const swapped = this.#heap[one] as IEvent;
    this.#heap[one] = this.#heap[other] as IEvent;
    this.#heap[other] = swapped;
  }
}
