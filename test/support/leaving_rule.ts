/**
 * The platform's rule on targets that say that they are about to leave: later
 * than `DRAIN_TIME` after a process has passed such an answer on, it sends the
 * target no call that came after that time.
 */
import type { IClock } from "../../src/common/services/services.ts";

/** Milliseconds for which the target still takes calls. */
const DRAIN_TIME = 2_000;

/** Counts the calls that come too late. */
export class LeavingRule {
  readonly #clock: Pick<IClock, "now">;
  /** When a process first heard of it, by process and target. */
  readonly #noticedAt = new Map<string, number>();
  readonly #violations = new Map<string, number>();

  constructor(clock: Pick<IClock, "now">) {
    this.#clock = clock;
  }

  recordNotice(process: string, target: string): void {
    const pair = pairOf(process, target);
    if (!this.#noticedAt.has(pair)) {
      this.#noticedAt.set(pair, this.#clock.now());
    }
  }

  /** @param submittedAt - when the caller sent the call */
  recordArrival(process: string, target: string, submittedAt: number): void {
    const pair = pairOf(process, target);
    const noticedAt = this.#noticedAt.get(pair);
    if (noticedAt !== undefined && submittedAt > noticedAt + DRAIN_TIME) {
      this.#violations.set(pair, (this.#violations.get(pair) ?? 0) + 1);
    }
  }

  /** Number of processes that were told, over all targets. */
  get notices(): number {
    return this.#noticedAt.size;
  }

  /** For each process and target, the calls that broke the rule. */
  get violations(): readonly string[] {
    return [...this.#violations]
      .map(([pair, calls]) => `${pair}: ${calls}`)
      .sort();
  }
}

function pairOf(process: string, target: string): string {
  return `${process} to ${target}`;
}
