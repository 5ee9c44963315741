/**
 * Attempts of one call that go on beside each other. A target that is silent
 * may still answer, so it keeps the call while another one is asked; the first
 * answer is used and the other attempts are aborted.
 */
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CallFailureKind } from "../types.ts";
import type { ICallFailure } from "../types.ts";
import type { IClock } from "./services.ts";

/** The result of one attempt. */
export type AttemptResult = Result<unknown, ICallFailure>;

/** The attempts of one call, aborted when it is disposed. */
export class CallRace implements Disposable {
  readonly #clock: Pick<IClock, "after">;
  readonly #callerSignal: AbortSignal;
  readonly #controller = new AbortController();
  readonly #abort = () => this.#controller.abort();
  readonly #ended: AttemptResult[] = [];
  #pending = 0;
  #hasUnknown = false;
  #wake: () => void = () => undefined;

  /** @param callerSignal - aborted when the caller leaves */
  constructor(clock: Pick<IClock, "after">, callerSignal: AbortSignal) {
    this.#clock = clock;
    this.#callerSignal = callerSignal;
    callerSignal.addEventListener("abort", this.#abort, { once: true });
  }

  /** Whether a target may have run the call. */
  get mayHaveRun(): boolean {
    return this.#hasUnknown || this.#pending > 0;
  }

  /** Whether further results come. */
  get hasNext(): boolean {
    return this.#pending > 0 || this.#ended.length > 0;
  }

  start(attempt: (signal: AbortSignal) => Promise<AttemptResult>): void {
    this.#pending += 1;
    void attempt(this.#controller.signal)
      .catch(failureOf)
      .then((result) => {
        this.#pending -= 1;
        this.#hasUnknown ||=
          result.isErr() && result.error.kind === CallFailureKind.Unknown;
        this.#ended.push(result);
        this.#wake();
      });
  }

  /**
   * Resolves with the result of an attempt that has ended, or with null if none
   * ends in time or none is pending.
   *
   * @param timeout - milliseconds
   */
  async next(timeout: number): Promise<AttemptResult | null> {
    if (this.#ended.length === 0 && this.#pending > 0) {
      await this.#wait(timeout);
    }
    return this.#ended.shift() ?? null;
  }

  [Symbol.dispose](): void {
    this.#callerSignal.removeEventListener("abort", this.#abort);
    this.#controller.abort();
  }

  #wait(timeout: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(timeout, resolve);
      this.#wake = () => {
        timer.dispose();
        resolve();
      };
    });
  }
}

/** A fault of one attempt fails its call, and nothing beside it. */
function failureOf(error: unknown): AttemptResult {
  return Err({ kind: CallFailureKind.Unknown, detail: String(error) });
}
