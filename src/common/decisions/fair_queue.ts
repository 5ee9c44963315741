/**
 * Waiting by client account. Pattern of load: one account sends most of the
 * load. Without fairness its queue is everybody's queue, and accounts within
 * their plans are late; one would notice by answers on time that fall for all
 * accounts alike. Each account gets its turn by cost, not by count (start-time
 * fair queueing: the account that has been given the least cost goes first),
 * a higher priority goes before a lower one, and inside an account the
 * earliest deadline goes first.
 *
 * Bounded: when a priority's queue is full, the work that leaves is the latest
 * of the account with the most cost waiting, so that a flood pushes out
 * itself.
 */
import type { AccountName } from "../types.ts";
import { costOf, isLong } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/** Requests that may wait in one priority; memory, about 1 KB each. */
export const MAXIMUM_WAITING = 1_000;

/** Which work there is room for. */
export interface IFreeSlots {
  readonly forShort: boolean;
  readonly forLong: boolean;
}

interface IAccountQueue {
  readonly account: AccountName;
  priority: number;
  /** Cost given so far, on the queue's virtual clock. */
  servedCost: number;
  /** Cost waiting. */
  waitingCost: number;
  /** In order of deadline. */
  readonly short: IWorkItem[];
  readonly long: IWorkItem[];
}

/** The waiting work of one service. */
export class FairQueue {
  readonly #accounts = new Map<AccountName, IAccountQueue>();
  readonly #sizes = new Map<number, number>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Adds work; returns what had to leave for it, which may be itself. */
  add(work: IWorkItem): IWorkItem | null {
    const queue = this.#queueOf(work);
    const lane = laneOf(queue, work);
    let index = lane.length;
    while (index > 0 && (lane[index - 1]?.deadline ?? 0) > work.deadline) {
      index -= 1;
    }
    lane.splice(index, 0, work);
    this.#count(queue, work, 1);
    const isFull = (this.#sizes.get(queue.priority) ?? 0) > MAXIMUM_WAITING;
    return isFull ? this.#pushOut(queue.priority) : null;
  }

  /** The next work there is room for; null when there is none. */
  take(room: IFreeSlots): IWorkItem | null {
    let best: IAccountQueue | null = null;
    for (const queue of this.#accounts.values()) {
      if (head(queue, room) !== null && goesBefore(queue, best)) {
        best = queue;
      }
    }
    const work = best && head(best, room);
    if (best === null || work === null) {
      return null;
    }
    laneOf(best, work).shift();
    this.#virtualTime = Math.max(this.#virtualTime, best.servedCost);
    best.servedCost += costOf(work);
    this.#count(best, work, -1);
    return work;
  }

  /** Whether any work of an account waits. */
  has(account: AccountName): boolean {
    const queue = this.#accounts.get(account);
    return queue !== undefined && queue.short.length + queue.long.length > 0;
  }

  /** Removes work whose caller is gone. */
  remove(work: IWorkItem): boolean {
    const queue = this.#accounts.get(work.account);
    const lane = queue && laneOf(queue, work);
    const index = lane?.indexOf(work) ?? -1;
    if (queue === undefined || lane === undefined || index < 0) {
      return false;
    }
    lane.splice(index, 1);
    this.#count(queue, work, -1);
    return true;
  }

  /** Removes and returns all work for which the condition holds. */
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
   * Cost expected to leave before new work of an account: all of higher
   * priorities, and of its own priority at most what fairness lets pass.
   */
  costAhead(work: IWorkItem): number {
    const own = this.#accounts.get(work.account)?.waitingCost ?? 0;
    const turn = own + costOf(work);
    let ahead = own;
    for (const queue of this.#accounts.values()) {
      if (queue.account === work.account) {
        continue;
      }
      if (queue.priority > work.priority) {
        ahead += queue.waitingCost;
      } else if (queue.priority === work.priority) {
        ahead += Math.min(queue.waitingCost, turn);
      }
    }
    return ahead;
  }

  #pushOut(priority: number): IWorkItem | null {
    let heaviest: IAccountQueue | null = null;
    for (const queue of this.#accounts.values()) {
      const isHeavier = queue.waitingCost > (heaviest?.waitingCost ?? 0);
      if (queue.priority === priority && isHeavier) {
        heaviest = queue;
      }
    }
    const lane = heaviest?.short.length ? heaviest.short : heaviest?.long;
    const latest = lane?.at(-1) ?? null;
    if (latest !== null) {
      this.remove(latest);
    }
    return latest;
  }

  #queueOf(work: IWorkItem): IAccountQueue {
    const found = this.#accounts.get(work.account);
    if (found !== undefined) {
      return found;
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

  #count(queue: IAccountQueue, work: IWorkItem, by: 1 | -1): void {
    const size = this.#sizes.get(queue.priority) ?? 0;
    this.#sizes.set(queue.priority, size + by);
    this.#size += by;
    queue.waitingCost += by * costOf(work);
    const isEmpty = queue.short.length + queue.long.length === 0;
    // An account that has caught up is forgotten: it owes nothing, and names
    // of accounts long gone would otherwise be kept for good.
    if (isEmpty && queue.servedCost <= this.#virtualTime) {
      this.#accounts.delete(queue.account);
    }
  }
}

function laneOf(queue: IAccountQueue, work: IWorkItem): IWorkItem[] {
  return isLong(work) ? queue.long : queue.short;
}

/** The earliest deadline among the work there is room for. */
function head(queue: IAccountQueue, room: IFreeSlots): IWorkItem | null {
  const short = room.forShort ? queue.short[0] : undefined;
  const long = room.forLong ? queue.long[0] : undefined;
  if (short === undefined || long === undefined) {
    return short ?? long ?? null;
  }
  return short.deadline <= long.deadline ? short : long;
}

function goesBefore(queue: IAccountQueue, other: IAccountQueue | null) {
  if (other === null) {
    return true;
  }
  return queue.priority === other.priority
    ? queue.servedCost < other.servedCost
    : queue.priority > other.priority;
}
