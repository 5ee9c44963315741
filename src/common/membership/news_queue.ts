/**
 * News waiting to be piggybacked. Each item is repeated a number of times that
 * grows with the logarithm of the members: enough to reach all of them, and a
 * bound on what a change costs.
 */
import type { DaemonId } from "../types.ts";
import type { IMemberNews } from "./types.ts";

/** Most items in one message; a message stays under about one packet. */
export const LARGEST_NEWS = 8;

/** Repeats for each doubling of the members, as in SWIM's analysis. */
const REPEATS_PER_DOUBLING = 3;

interface IQueued {
  readonly news: IMemberNews;
  repeats: number;
}

/** Keeps the newest item for each daemon. */
export class NewsQueue {
  readonly #queued = new Map<DaemonId, IQueued>();

  /** @param members - live members, which set the number of repeats */
  add(news: IMemberNews, members: number): void {
    const repeats = REPEATS_PER_DOUBLING * Math.ceil(Math.log2(members + 2));
    this.#queued.set(news.member.daemon, { news, repeats });
  }

  /** The items told least often so far. */
  take(): IMemberNews[] {
    const order = [...this.#queued.values()].sort(
      (left, right) => right.repeats - left.repeats,
    );
    const taken = order.slice(0, LARGEST_NEWS);
    for (const item of taken) {
      item.repeats -= 1;
      if (item.repeats <= 0) {
        this.#queued.delete(item.news.member.daemon);
      }
    }
    return taken.map(({ news }) => news);
  }
}
