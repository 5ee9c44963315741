/**
 * The platform's rule on targets that reject calls for a time: from
 * `SETTLING_TIME` after such a rejection until the end of its time, the target
 * gets at most `ALLOWED` requests from the process that received it.
 */
import type { IClock } from "../../src/common/services/services.ts";

/** Milliseconds in which requests may still be under way. */
const SETTLING_TIME = 500;

/** Requests allowed in the rest of the time. */
const ALLOWED = 2;

interface IRejection {
  readonly pair: string;
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

/** Counts what each target receives from each process. */
export class RetryAfterRule {
  readonly #clock: Pick<IClock, "now">;
  readonly #rejections: IRejection[] = [];

  constructor(clock: Pick<IClock, "now">) {
    this.#clock = clock;
  }

  recordArrival(process: string, target: string): void {
    const now = this.#clock.now();
    const pair = pairOf(process, target);
    for (const rejection of this.#rejections) {
      const isWithin = now >= rejection.from && now < rejection.until;
      if (rejection.pair === pair && isWithin) {
        rejection.arrivals += 1;
      }
    }
  }

  /** @param retryAfter - milliseconds that the target named */
  recordRejection(process: string, target: string, retryAfter: number): void {
    const now = this.#clock.now();
    this.#rejections.push({
      pair: pairOf(process, target),
      from: now + SETTLING_TIME,
      until: now + retryAfter,
      arrivals: 0,
    });
  }

  /** Number of rejections that named a time. */
  get rejections(): number {
    return this.#rejections.length;
  }

  /** For each process and target, the most requests that broke the rule. */
  get violations(): readonly string[] {
    const most = new Map<string, number>();
    for (const { pair, arrivals } of this.#rejections) {
      if (arrivals > ALLOWED) {
        most.set(pair, Math.max(arrivals, most.get(pair) ?? 0));
      }
    }
    return [...most].map(([pair, arrivals]) => `${pair}: ${arrivals}`).sort();
  }
}

function pairOf(process: string, target: string): string {
  return `${process} to ${target}`;
}
