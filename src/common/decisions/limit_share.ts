/**
 * One daemon's share of a client account's limit. Pattern of load: an account
 * sends to a few daemons only, or is cut off from some. Without shares each
 * daemon allows the whole limit, and with N of them the account gets N times
 * its plan; with fixed shares an account whose callers all reach one daemon
 * gets an Nth of what it pays for.
 *
 * Each daemon owns a base share: the limit over the number of daemons that the
 * settings allow for. It may lend what it does not use of it. Lending is safe
 * in any partition because the lender gives up first: it shrinks by the loan
 * before the offer is sent, and grows back only after the loan has lapsed for
 * certain. The borrower counts the loan from before it asked, the lender from
 * after it answered, so a message that is late, lost or doubled makes the sum
 * smaller, never larger. Nobody compares clocks: both measure durations, and
 * the margin covers clocks that run at different speeds.
 *
 * That the sum is never above the limit, in any partition, is a property in
 * `limit_share_test.ts`; so is that nine tenths can be used where all demand
 * is at one daemon. No daemon exchanges loans yet.
 */
import type { DaemonId, MonotonicTime } from "../types.ts";

/** How long a loan lasts for its borrower, milliseconds. */
export const LOAN_TIME = 4_000;

/** How much longer the lender waits: two hundredths of it, and a pause. */
export const LOAN_EXPIRY_MARGIN = 1_000;

/** Share of its base that a daemon always keeps, to notice its own demand. */
const KEPT_SHARE = 0.1;

/** Demand is answered with this much room above it. */
const HEADROOM = 1.1;

/** A loan asked for; answered by {@link LimitShare.lend}. */
export interface ILoanRequest {
  readonly borrower: DaemonId;
  /** Tells loans of one borrower apart. */
  readonly number: number;
  /** How much is wanted, in the limit's unit. */
  readonly amount: number;
}

/** A loan given. */
export interface ILoan {
  readonly lender: DaemonId;
  readonly borrower: DaemonId;
  readonly number: number;
  readonly amount: number;
}

interface IActiveLoan {
  readonly amount: number;
  readonly until: MonotonicTime;
}

/** Base, loans given and loans taken of one account in one daemon. */
export class LimitShare {
  readonly #self: DaemonId;
  readonly #base: number;
  /** By borrower, which counts only one of them at a time. */
  readonly #given = new Map<DaemonId, readonly IActiveLoan[]>();
  readonly #taken = new Map<DaemonId, IActiveLoan>();
  readonly #asked = new Map<number, MonotonicTime>();
  #number = 0;

  /**
   * @param base This daemon's own part of the limit; the parts of all daemons
   *   must sum to at most the limit.
   */
  constructor(self: DaemonId, base: number) {
    this.#self = self;
    this.#base = base;
  }

  /** What may be used now. */
  usable(now: MonotonicTime): number {
    this.#lapse(now);
    const taken = [...this.#taken.values()].map(({ amount }) => amount);
    return this.#base - this.#lentExcept("") + sum(taken);
  }

  /**
   * Asks for a loan, or for its renewal, where demand is above this daemon's
   * own part; null if it is not. To be called once a second.
   */
  requestLoan(demand: number, now: MonotonicTime): ILoanRequest | null {
    this.#lapse(now);
    const own = this.#base - this.#lentExcept("");
    const missing = demand * HEADROOM - own;
    if (missing <= 0) {
      return null;
    }
    this.#number += 1;
    this.#asked.set(this.#number, now);
    return { borrower: this.#self, number: this.#number, amount: missing };
  }

  /** Gives what is not used of the base; the share shrinks at once. */
  lend(
    request: ILoanRequest,
    demand: number,
    now: MonotonicTime,
  ): ILoan | null {
    this.#lapse(now);
    const { borrower, number } = request;
    const used = Math.max(demand * HEADROOM, this.#base * KEPT_SHARE);
    const spare = this.#base - this.#lentExcept(borrower) - used;
    const amount = Math.min(request.amount, spare);
    if (amount <= 0) {
      return null;
    }
    const until = now + LOAN_TIME + LOAN_EXPIRY_MARGIN;
    const before = this.#given.get(borrower) ?? [];
    this.#given.set(borrower, [...before, { amount, until }]);
    return { lender: this.#self, borrower, number, amount };
  }

  /** Takes a loan, if it is still in time; counted from when it was asked. */
  acceptLoan(loan: ILoan, now: MonotonicTime): void {
    const askedAt = this.#asked.get(loan.number);
    if (loan.borrower !== this.#self || askedAt === undefined) {
      return;
    }
    const until = askedAt + LOAN_TIME;
    const known = this.#taken.get(loan.lender);
    // One loan of a lender counts at a time: the newer takes the older's
    // place, although the lender still waits for both to lapse.
    if (now < until && (known === undefined || known.until < until)) {
      this.#taken.set(loan.lender, { amount: loan.amount, until });
    }
  }

  /** The most that borrowers, but for one, may be counting now. */
  #lentExcept(excepted: DaemonId): number {
    const largest: number[] = [];
    for (const [borrower, loans] of this.#given) {
      if (borrower !== excepted) {
        largest.push(Math.max(0, ...loans.map(({ amount }) => amount)));
      }
    }
    return sum(largest);
  }

  #lapse(now: MonotonicTime): void {
    for (const [borrower, loans] of this.#given) {
      const running = loans.filter(({ until }) => now < until);
      this.#given.set(borrower, running);
      if (running.length === 0) {
        this.#given.delete(borrower);
      }
    }
    for (const [lender, { until }] of this.#taken) {
      if (now >= until) {
        this.#taken.delete(lender);
      }
    }
    for (const [number, askedAt] of this.#asked) {
      if (now - askedAt >= LOAN_TIME) {
        this.#asked.delete(number);
      }
    }
  }
}

function sum(amounts: readonly number[]): number {
  return amounts.reduce((total, amount) => total + amount, 0);
}
