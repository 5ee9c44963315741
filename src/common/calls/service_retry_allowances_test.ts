import { expect } from "chai";
import fc from "fast-check";
import { ProcessCount } from "../replicas/process_count.ts";
import { ServiceRetryAllowances } from "./service_retry_allowances.ts";

const SERVICE = "summaries";
const PROCESSES = 6;
const BOUNDS = { ratio: 0.2, window: 10_000, slack: 103 };
/**
 * Longest partition, milliseconds: shorter than the time for which
 * {@link ProcessCount} keeps a larger number.
 */
const LONGEST_PARTITION = 10_000;
/** Milliseconds in which a new process learns of the others one by one. */
const KNOWS_ALL_AFTER = 400;

interface ISendRecord {
  readonly at: number;
  readonly isRetry: boolean;
}

/** Processes that restart, are cut off from the others, and share a bound. */
class Fleet {
  now = 0;
  readonly sent: ISendRecord[] = [];
  /** When each replaced another; null for those of the first start. */
  readonly #startedAt = Array.from(
    { length: PROCESSES },
    (): number | null => null,
  );
  readonly #counts = this.#startedAt.map(() => new ProcessCount());
  readonly #allowances = this.#startedAt.map((_, process) =>
    this.#createAllowances(process),
  );
  /** Processes that are cut off from the others, until a time. */
  #partition = { part: new Set<number>(), until: 0 };

  advance(milliseconds: number): void {
    this.now += milliseconds;
    this.#counts.forEach((count, process) =>
      count.update(this.#knownProcesses(process), this.now),
    );
  }

  firstSend(process: number): void {
    this.#allowances[process]?.recordFirstSend(SERVICE, this.now);
    this.sent.push({ at: this.now, isRetry: false });
  }

  /** Retries as often as the allowance permits, up to a limit. */
  retry(process: number, limit: number): void {
    for (let made = 0; made < limit; made += 1) {
      if (!this.#allowances[process]?.tryTake(SERVICE, this.now)) {
        return;
      }
      this.sent.push({ at: this.now, isRetry: true });
    }
  }

  restart(process: number): void {
    this.#startedAt[process] = this.now;
    this.#counts[process] = new ProcessCount();
    this.#allowances[process] = this.#createAllowances(process);
  }

  /** Cuts processes off from the others, unless some are cut off already. */
  cut(part: readonly number[], time: number): void {
    if (this.now >= this.#partition.until) {
      this.#partition = { part: new Set(part), until: this.now + time };
    }
  }

  #createAllowances(process: number): ServiceRetryAllowances {
    return new ServiceRetryAllowances(BOUNDS, {
      processes: () =>
        this.#counts[process]?.update(
          this.#knownProcesses(process),
          this.now,
        ) ?? 1,
      replacesAnotherSince: this.#startedAt[process] ?? null,
    });
  }

  /** Number of processes that one knows of, itself included. */
  #knownProcesses(process: number): number {
    const startedAt = this.#startedAt[process] ?? null;
    const age = this.now - (startedAt ?? 0);
    if (startedAt !== null && age < KNOWS_ALL_AFTER) {
      return age < KNOWS_ALL_AFTER / 2 ? 0 : 1;
    }
    const { part, until } = this.#partition;
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
    arbitrary: fc.record({ retry: processOf, most: fc.nat({ max: 40 }) }),
  },
  { weight: 2, arbitrary: fc.record({ restart: processOf }) },
  {
    weight: 1,
    arbitrary: fc.record({
      cut: fc.uniqueArray(processOf, { minLength: 1, maxLength: 5 }),
      time: fc.nat({ max: LONGEST_PARTITION }),
    }),
  },
);

describe("retries of processes that come and go", () => {
  // Guards against a partly read response cut off for lack of a retry soon
  // after the first start, when no other process can have used the share.
  it("are available at once to a process of the first start", () => {
    const sharing = { processes: () => PROCESSES, replacesAnotherSince: null };
    const allowances = new ServiceRetryAllowances(BOUNDS, sharing);
    expect(allowances.tryTake(SERVICE, 100)).to.equal(true);
  });

  // Guards against retries beyond the common bound: a restarted process takes
  // its share of the slack a second time, or a process that is cut off from the
  // others takes all of it.
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
          } else if ("retry" in step) {
            fleet.retry(step.retry, step.most);
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
          const retries = inWindow.filter((one) => one.isRetry).length;
          const first = inWindow.length - retries;
          expect(retries).to.be.at.most(first * BOUNDS.ratio + BOUNDS.slack);
        }
      }),
      { seed: 20261203, numRuns: 400 },
    );
  });
});
