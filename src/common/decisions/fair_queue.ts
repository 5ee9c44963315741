/**
 * Queue with fairness between client accounts. Without fairness, an account
 * that sends most of the load makes everybody wait in its queue: accounts
 * within their plans are late, and the share of answers on time falls for all
 * accounts alike. Accounts take turns by cost, not by count (start-time fair
 * queueing: the account that has been served the least cost goes first), a
 * higher priority goes before a lower one, and within an account the earliest
 * deadline goes first.
 *
 * The size is bounded: when a priority's queue is full, the account with the
 * most cost waiting loses its latest short item, or its latest long one if it
 * has no short ones, so that a flood evicts its own items.
 */
import type { AccountName } from "../types.ts";
import { costOf, isLong } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/** Items that may wait in one priority; each takes about 1 KB of memory. */
export const MAXIMUM_WAITING = 1_000;

/** Which kinds of work there are free slots for. */
export interface IFreeSlots {
  readonly forShort: boolean;
  readonly forLong: boolean;
}

interface IAccountQueue {
  readonly account: AccountName;
  priority: number;
  /** Cost served so far, on the queue's virtual clock. */
  servedCost: number;
  waitingCost: number;
  /** Sorted by deadline. */
  readonly short: IWorkItem[];
  readonly long: IWorkItem[];
}

/** The waiting work of one service. */
export class FairQueue {
  readonly #accounts = new Map<AccountName, IAccountQueue>();
  readonly #sizesByPriority = new Map<number, number>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item; returns the item evicted for it, if any, which may be itself.
   */
  add(work: IWorkItem): IWorkItem | null {
    const queue = this.#queueOf(work);
    const subqueue = subqueueOf(queue, work);
    let index = subqueue.length;
    while (index > 0 && (subqueue[index - 1]?.deadline ?? 0) > work.deadline) {
      index -= 1;
    }
    subqueue.splice(index, 0, work);
    this.#updateCounts(queue, work, 1);
    const isFull =
      (this.#sizesByPriority.get(queue.priority) ?? 0) > MAXIMUM_WAITING;
    return isFull ? this.#evictLatest(queue.priority) : null;
  }

  /** Removes and returns the next item that a slot is free for, or null. */
  take(freeSlots: IFreeSlots): IWorkItem | null {
    let best: IAccountQueue | null = null;
    for (const queue of this.#accounts.values()) {
      if (
        earliestItem(queue, freeSlots) !== null &&
        isServedBefore(queue, best)
      ) {
        best = queue;
      }
    }
    const work = best && earliestItem(best, freeSlots);
    if (best === null || work === null) {
      return null;
    }
    subqueueOf(best, work).shift();
    this.#virtualTime = Math.max(this.#virtualTime, best.servedCost);
    best.servedCost += costOf(work);
    this.#updateCounts(best, work, -1);
    return work;
  }

  /** Whether any item of the account is waiting. */
  has(account: AccountName): boolean {
    const queue = this.#accounts.get(account);
    return queue !== undefined && queue.short.length + queue.long.length > 0;
  }

  /** Removes an item; false if it is not waiting. */
  remove(work: IWorkItem): boolean {
    const queue = this.#accounts.get(work.account);
    const subqueue = queue && subqueueOf(queue, work);
    const index = subqueue?.indexOf(work) ?? -1;
    if (queue === undefined || subqueue === undefined || index < 0) {
      return false;
    }
    subqueue.splice(index, 1);
    this.#updateCounts(queue, work, -1);
    return true;
  }

  /** Removes and returns all items for which the condition holds. */
  removeWhere(condition: (work: IWorkItem) => boolean): readonly IWorkItem[] {
    const removed: IWorkItem[] = [];
    for (const queue of this.#accounts.values()) {
      removed.push(...queue.short.filter(condition));
      removed.push(...queue.long.filter(condition));
    }
    for (const work of removed) {
      this.remove(work);
    }
    return removed;
  }

  /**
   * Cost expected to be served before a new item of the account: all of higher
   * priorities, and of its own priority at most what fairness lets go first.
   */
  costAhead(work: IWorkItem): number {
    const own = this.#accounts.get(work.account)?.waitingCost ?? 0;
    const fairShare = own + costOf(work);
    let ahead = own;
    for (const queue of this.#accounts.values()) {
      if (queue.account === work.account) {
        continue;
      }
      if (queue.priority > work.priority) {
        ahead += queue.waitingCost;
      } else if (queue.priority === work.priority) {
        ahead += Math.min(queue.waitingCost, fairShare);
      }
    }
    return ahead;
  }

  #evictLatest(priority: number): IWorkItem | null {
    let heaviest: IAccountQueue | null = null;
    for (const queue of this.#accounts.values()) {
      const isHeavier = queue.waitingCost > (heaviest?.waitingCost ?? 0);
      if (queue.priority === priority && isHeavier) {
        heaviest = queue;
      }
    }
    const subqueue = heaviest?.short.length ? heaviest.short : heaviest?.long;
    const latest = subqueue?.at(-1) ?? null;
    if (latest !== null) {
      this.remove(latest);
    }
    return latest;
  }

  #queueOf(work: IWorkItem): IAccountQueue {
    const known = this.#accounts.get(work.account);
    if (known !== undefined) {
      return known;
    }
    const queue: IAccountQueue = {
      account: work.account,
      priority: work.priority,
      servedCost: this.#virtualTime,
      waitingCost: 0,
      short: [],
      long: [],
    };
    this.#accounts.set(work.account, queue);
    return queue;
  }

  #updateCounts(queue: IAccountQueue, work: IWorkItem, by: 1 | -1): void {
    const size = this.#sizesByPriority.get(queue.priority) ?? 0;
    this.#sizesByPriority.set(queue.priority, size + by);
    this.#size += by;
    queue.waitingCost += by * costOf(work);
    const isEmpty = queue.short.length + queue.long.length === 0;
    // An account with nothing waiting whose served cost is not ahead of the
    // virtual clock needs no entry. Keeping it would leak the names of accounts
    // that no longer send requests.
    if (isEmpty && queue.servedCost <= this.#virtualTime) {
      this.#accounts.delete(queue.account);
    }
  }
}

function subqueueOf(queue: IAccountQueue, work: IWorkItem): IWorkItem[] {
  return isLong(work) ? queue.long : queue.short;
}

/** The item with the earliest deadline that a slot is free for. */
function earliestItem(
  queue: IAccountQueue,
  freeSlots: IFreeSlots,
): IWorkItem | null {
  const short = freeSlots.forShort ? queue.short[0] : undefined;
  const long = freeSlots.forLong ? queue.long[0] : undefined;
  if (short === undefined || long === undefined) {
    return short ?? long ?? null;
  }
  return short.deadline <= long.deadline ? short : long;
}

function isServedBefore(queue: IAccountQueue, other: IAccountQueue | null) {
  if (other === null) {
    return true;
  }
  return queue.priority === other.priority
    ? queue.servedCost < other.servedCost
    : queue.priority > other.priority;
}
