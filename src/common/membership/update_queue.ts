/**
 * News waiting to be piggybacked. Each item is repeated a number of times that
 * grows with the logarithm of the members: enough to reach all of them, and a
 * bound on what a change costs.
 */
import type { DaemonId } from "../types.ts";
import type { IMemberUpdate } from "./types.ts";

/** Most items in one message; a message stays under about one packet. */
export const MAXIMUM_UPDATES = 8;

/** Repeats for each doubling of the members, as in SWIM's analysis. */
const REPEATS_PER_DOUBLING = 3;

interface IQueued {
  readonly news: IMemberUpdate;
  repeats: number;
}

/** Keeps the newest item for each daemon. */
export class UpdateQueue {
  readonly #queued = new Map<DaemonId, IQueued>();

  /** @param members - live members, which set the number of repeats */
  add(news: IMemberUpdate, members: number): void {
    const repeats = REPEATS_PER_DOUBLING * Math.ceil(Math.log2(members + 2));
    this.#queued.set(news.member.daemon, { news, repeats });
  }

  /** The items told least often so far. */
  takeNext(): IMemberUpdate[] {
    const order = [...this.#queued.values()].sort(
      (left, right) => right.repeats - left.repeats,
    );
    const taken = order.slice(0, MAXIMUM_UPDATES);
    for (const item of taken) {
      item.repeats -= 1;
      if (item.repeats <= 0) {
        this.#queued.delete(item.news.member.daemon);
      }
    }
    return taken.map(({ news }) => news);
  }
}
