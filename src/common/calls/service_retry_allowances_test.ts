import { expect } from "chai";
import fc from "fast-check";
import { ProcessCount } from "../replicas/process_count.ts";
import { ServiceRetryAllowances } from "./service_retry_allowances.ts";

const SERVICE = "summaries";
const PROCESSES = 6;
const BOUNDS = { ratio: 0.2, window: 10_000, slack: 103 };
/** Shorter than the time for which a larger number of processes counts. */
const LONGEST_CUT = 10_000;
/** A process that has just started hears of the others one by one. */
const HEARS_ALL_AFTER = 400;

interface ISent {
  readonly at: number;
  readonly isRepeat: boolean;
}

/** Processes that start anew, are cut off from the others, and share a bound. */
class Fleet {
  now = 0;
  readonly sent: ISent[] = [];
  /** When each took another's place; null for those of the first start. */
  readonly #startedAt = Array.from(
    { length: PROCESSES },
    (): number | null => null,
  );
  readonly #counts = this.#startedAt.map(() => new ProcessCount());
  readonly #books = this.#startedAt.map((_, process) => this.#book(process));
  /** Processes that hear of one another only, until a time. */
  #cut = { part: new Set<number>(), until: 0 };

  advance(milliseconds: number): void {
    this.now += milliseconds;
    this.#counts.forEach((count, process) =>
      count.update(this.#heard(process), this.now),
    );
  }

  firstSend(process: number): void {
    this.#books[process]?.recordFirstSend(SERVICE, this.now);
    this.sent.push({ at: this.now, isRepeat: false });
  }

  /** Repeats as many as it may. */
  repeat(process: number, most: number): void {
    for (let made = 0; made < most; made += 1) {
      if (!this.#books[process]?.tryTake(SERVICE, this.now)) {
        return;
      }
      this.sent.push({ at: this.now, isRepeat: true });
    }
  }

  restart(process: number): void {
    this.#startedAt[process] = this.now;
    this.#counts[process] = new ProcessCount();
    this.#books[process] = this.#book(process);
  }

  cut(part: readonly number[], time: number): void {
    if (this.now >= this.#cut.until) {
      this.#cut = { part: new Set(part), until: this.now + time };
    }
  }

  #book(process: number): ServiceRetryAllowances {
    return new ServiceRetryAllowances(BOUNDS, {
      processes: () =>
        this.#counts[process]?.update(this.#heard(process), this.now) ?? 1,
      replacesAnotherSince: this.#startedAt[process] ?? null,
    });
  }

  /** How many processes one hears of, itself included. */
  #heard(process: number): number {
    const startedAt = this.#startedAt[process] ?? null;
    const age = this.now - (startedAt ?? 0);
    if (startedAt !== null && age < HEARS_ALL_AFTER) {
      return age < HEARS_ALL_AFTER / 2 ? 0 : 1;
    }
    const { part, until } = this.#cut;
    const isInPart = part.has(process);
    const isCut = this.now < until;
    const size = isInPart ? part.size : PROCESSES - part.size;
    return isCut ? size : PROCESSES;
  }
}

const processOf = fc.integer({ min: 0, max: PROCESSES - 1 });

const STEP = fc.oneof(
  { weight: 4, arbitrary: fc.record({ advance: fc.nat({ max: 400 }) }) },
  { weight: 4, arbitrary: fc.record({ first: processOf }) },
  {
    weight: 6,
    arbitrary: fc.record({ repeat: processOf, most: fc.nat({ max: 40 }) }),
  },
  { weight: 2, arbitrary: fc.record({ restart: processOf }) },
  {
    weight: 1,
    arbitrary: fc.record({
      cut: fc.uniqueArray(processOf, { minLength: 1, maxLength: 5 }),
      time: fc.nat({ max: LONGEST_CUT }),
    }),
  },
);

describe("the repeats of processes that come and go", () => {
  // Guards against a half-read answer cut for want of a repeat soon after the
  // first start, where no other process can have used the share.
  it("are had at once by a process of the first start", () => {
    const sharing = { processes: () => PROCESSES, replacesAnotherSince: null };
    const book = new ServiceRetryAllowances(BOUNDS, sharing);
    expect(book.tryTake(SERVICE, 100)).to.equal(true);
  });

  // Guards against a share of the common allowance that is taken anew by each
  // process that starts, or whole by one that hears of no other.
  it("stay within the bound in every window", () => {
    fc.assert(
      fc.property(fc.array(STEP, { maxLength: 200, size: "max" }), (steps) => {
        const fleet = new Fleet();
        fleet.advance(BOUNDS.window);
        for (const step of steps) {
          if ("advance" in step) {
            fleet.advance(step.advance);
          } else if ("first" in step) {
            fleet.firstSend(step.first);
          } else if ("repeat" in step) {
            fleet.repeat(step.repeat, step.most);
          } else if ("restart" in step) {
            fleet.restart(step.restart);
          } else {
            fleet.cut(step.cut, step.time);
          }
        }
        for (const { at } of fleet.sent) {
          const inWindow = fleet.sent.filter(
            (one) => one.at <= at && one.at > at - BOUNDS.window,
          );
          const repeats = inWindow.filter((one) => one.isRepeat).length;
          const first = inWindow.length - repeats;
          expect(repeats).to.be.at.most(first * BOUNDS.ratio + BOUNDS.slack);
        }
      }),
      { seed: 20261203, numRuns: 400 },
    );
  });
});
