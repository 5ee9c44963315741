/**
 * One daemon's share of a client account's limit. An account may send to a few
 * daemons only, or be cut off from some. Without shares, each daemon allows the
 * whole limit, and with N daemons the account gets N times its plan. With fixed
 * shares, an account whose callers all reach one daemon gets an Nth of what it
 * pays for.
 *
 * Each daemon owns a base share: the limit divided by the number of daemons
 * that the settings allow for. It may lend the part it does not use. Lending is
 * safe in any partition because the lender gives up its part first: its share
 * shrinks by the loan before the offer is sent, and grows back only after the
 * loan has certainly expired. The borrower counts the loan's time from before
 * it asked, the lender from after it answered, so a late, lost or duplicated
 * message makes the sum smaller, never larger. Clocks are never compared: both
 * sides measure durations, and the margin covers clocks that run at different
 * speeds.
 *
 * `limit_share_test.ts` tests these properties: the sum never exceeds the limit
 * in any partition, and nine tenths are usable where all demand is at one
 * daemon. Daemons do not exchange loans yet.
 */
import type { DaemonId, MonotonicTime } from "../types.ts";

/** Duration of a loan for its borrower, milliseconds. */
export const LOAN_TIME = 4_000;

/**
 * How much longer the lender waits, milliseconds: two hundredths of the loan's
 * duration for clock drift, and the rest for a pause of the process.
 */
export const LOAN_EXPIRY_MARGIN = 1_000;

/**
 * Share of its base that a daemon never lends, so that it notices its own
 * demand.
 */
const RESERVED_SHARE = 0.1;

/** Factor by which a share exceeds the demand. */
const HEADROOM_FACTOR = 1.1;

/** A request for a loan, answered by {@link LimitShare.lend}. */
export interface ILoanRequest {
  readonly borrower: DaemonId;
  /** Distinguishes the loans of one borrower. */
  readonly number: number;
  /** The amount requested, in the limit's unit. */
  readonly amount: number;
}

/** A loan granted by a lender. */
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

/**
 * One account's share in one daemon: its base, loans granted and loans held.
 */
export class LimitShare {
  readonly #self: DaemonId;
  readonly #base: number;
  /** By borrower; each borrower uses only one of its loans at a time. */
  readonly #lent = new Map<DaemonId, readonly IActiveLoan[]>();
  readonly #borrowed = new Map<DaemonId, IActiveLoan>();
  /** When each loan was requested, by the request's number. */
  readonly #requested = new Map<number, MonotonicTime>();
  #number = 0;

  /**
   * @param base This daemon's own part of the limit; the parts of all daemons
   *   must sum to at most the limit.
   */
  constructor(self: DaemonId, base: number) {
    this.#self = self;
    this.#base = base;
  }

  /** The amount usable now. */
  usable(now: MonotonicTime): number {
    this.#expireLoans(now);
    const borrowed = [...this.#borrowed.values()].map(({ amount }) => amount);
    return this.#base - this.#lentExcept("") + sum(borrowed);
  }

  /**
   * Requests a loan, or its renewal, when demand exceeds this daemon's own
   * part; null otherwise. Call it once a second.
   */
  requestLoan(demand: number, now: MonotonicTime): ILoanRequest | null {
    this.#expireLoans(now);
    const own = this.#base - this.#lentExcept("");
    const missing = demand * HEADROOM_FACTOR - own;
    if (missing <= 0) {
      return null;
    }
    this.#number += 1;
    this.#requested.set(this.#number, now);
    return { borrower: this.#self, number: this.#number, amount: missing };
  }

  /** Lends the unused part of the base; the share shrinks immediately. */
  lend(
    request: ILoanRequest,
    demand: number,
    now: MonotonicTime,
  ): ILoan | null {
    this.#expireLoans(now);
    const { borrower, number } = request;
    const used = Math.max(
      demand * HEADROOM_FACTOR,
      this.#base * RESERVED_SHARE,
    );
    const spare = this.#base - this.#lentExcept(borrower) - used;
    const amount = Math.min(request.amount, spare);
    if (amount <= 0) {
      return null;
    }
    const until = now + LOAN_TIME + LOAN_EXPIRY_MARGIN;
    const before = this.#lent.get(borrower) ?? [];
    this.#lent.set(borrower, [...before, { amount, until }]);
    return { lender: this.#self, borrower, number, amount };
  }

  /**
   * Accepts a loan that has not expired, counting from when it was requested.
   */
  acceptLoan(loan: ILoan, now: MonotonicTime): void {
    const requestedAt = this.#requested.get(loan.number);
    if (loan.borrower !== this.#self || requestedAt === undefined) {
      return;
    }
    const until = requestedAt + LOAN_TIME;
    const known = this.#borrowed.get(loan.lender);
    // Only one loan of each lender counts: the newer replaces the older,
    // although the lender waits for both to expire.
    if (now < until && (known === undefined || known.until < until)) {
      this.#borrowed.set(loan.lender, { amount: loan.amount, until });
    }
  }

  /** The most that all borrowers except one may be using now. */
  #lentExcept(excepted: DaemonId): number {
    const largest: number[] = [];
    for (const [borrower, loans] of this.#lent) {
      if (borrower !== excepted) {
        largest.push(Math.max(0, ...loans.map(({ amount }) => amount)));
      }
    }
    return sum(largest);
  }

  #expireLoans(now: MonotonicTime): void {
    for (const [borrower, loans] of this.#lent) {
      const running = loans.filter(({ until }) => now < until);
      this.#lent.set(borrower, running);
      if (running.length === 0) {
        this.#lent.delete(borrower);
      }
    }
    for (const [lender, { until }] of this.#borrowed) {
      if (now >= until) {
        this.#borrowed.delete(lender);
      }
    }
    for (const [number, requestedAt] of this.#requested) {
      if (now - requestedAt >= LOAN_TIME) {
        this.#requested.delete(number);
      }
    }
  }
}

function sum(amounts: readonly number[]): number {
  return amounts.reduce((total, amount) => total + amount, 0);
}
