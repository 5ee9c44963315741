/**
 * Queue of updates to piggyback. Each update is sent a number of times that
 * grows with the logarithm of the number of members: enough to reach all of
 * them, and a bound on the cost of a change.
 */
import type { DaemonId } from "../types.ts";
import type { IMemberUpdate } from "./types.ts";

/** Maximum updates in one message, so that it fits into about one packet. */
export const MAXIMUM_UPDATES = 8;

/** Sends per doubling of the number of members, as in SWIM's analysis. */
const SENDS_PER_DOUBLING = 3;

interface IQueuedUpdate {
  readonly news: IMemberUpdate;
  sendsLeft: number;
}

/** Keeps the newest update of each daemon. */
export class UpdateQueue {
  readonly #queued = new Map<DaemonId, IQueuedUpdate>();

  /** @param members - number of live members, which sets the number of sends */
  add(news: IMemberUpdate, members: number): void {
    const sendsLeft = SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 2));
    this.#queued.set(news.member.daemon, { news, sendsLeft });
  }

  /** The updates with the most sends left. */
  takeNext(): IMemberUpdate[] {
    const sorted = [...this.#queued.values()].sort(
      (left, right) => right.sendsLeft - left.sendsLeft,
    );
    const taken = sorted.slice(0, MAXIMUM_UPDATES);
    for (const item of taken) {
      item.sendsLeft -= 1;
      if (item.sendsLeft <= 0) {
        this.#queued.delete(item.news.member.daemon);
      }
    }
    return taken.map(({ news }) => news);
  }
}
