/** Tracks the progress of one token stream over several attempts. */
import { CallFailureKind } from "../types.ts";
import type { ICallFailure } from "../types.ts";
import type { IClock, IEngineToken } from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** Consecutive attempts without a token after which a request fails. */
const MAXIMUM_FAILURES = 6;

/**
 * Tracks position, failed attempts and suspect groups of one request. A stall
 * or a broken connection is first blamed on the connection: the group becomes
 * a suspect, is tried only after the others, and gets one more attempt on a new
 * connection. If that fails too, the group is excluded for this request.
 *
 * Only attempts that yield no token count towards the limit: a long stream may
 * outlive many groups, and its caller would lose what it has received.
 */
export class StreamProgress implements Disposable {
  readonly request: ICallerRequest;
  readonly suspects = new Set<string>();
  readonly excluded = new Set<string>();
  /** Engines that broke it off when they had hardly begun to answer. */
  readonly suspectedEngines = new Set<string>();
  readonly #abortController = new AbortController();
  readonly #deadlineTimer: { dispose(): void };
  readonly #abort = () => this.#abortController.abort();
  /** Failed attempts since the last token. */
  #failures = 0;
  #position: number;
  #isComplete = false;
  #isDeadlinePassed = false;
  #mayHaveRun = false;

  constructor(request: ICallerRequest, clock: IClock) {
    this.request = request;
    this.#position = request.resumeFrom;
    const remaining = Math.max(0, request.deadline - clock.now());
    this.#deadlineTimer = clock.after(remaining, () => {
      this.#isDeadlinePassed = true;
      this.#abort();
    });
    request.signal.addEventListener("abort", this.#abort, { once: true });
  }

  /** Aborted when the caller leaves or the deadline passes. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** The sequence number of the next token. */
  get position(): number {
    return this.#position;
  }

  get isComplete(): boolean {
    return this.#isComplete;
  }

  get isDeadlinePassed(): boolean {
    return this.#isDeadlinePassed;
  }

  /** Whether an engine may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  get mayAttempt(): boolean {
    return this.#failures < MAXIMUM_FAILURES && !this.signal.aborted;
  }

  /** Records tokens that are passed on to the caller. */
  recordTokens(tokens: readonly IEngineToken[]): void {
    const last = tokens.at(-1);
    if (last !== undefined) {
      this.#failures = 0;
      this.#mayHaveRun = true;
      this.#isComplete = last.isEnd;
      this.#position = last.isEnd ? last.sequence : last.sequence + 1;
    }
  }

  /** Records a failed attempt on a group. */
  recordFailure(group: string, failure: ICallFailure): void {
    this.#failures += 1;
    const mayHaveActed = failure.kind === CallFailureKind.Unknown;
    this.#mayHaveRun ||= mayHaveActed;
    if (!mayHaveActed || this.suspects.has(group)) {
      this.excluded.add(group);
    }
    this.suspects.add(group);
  }

  /** Makes no further attempt. */
  abandon(): void {
    this.#failures = MAXIMUM_FAILURES;
  }

  /** Allows excluded groups to be tried again. */
  clearExcluded(): void {
    this.excluded.clear();
  }

  [Symbol.dispose](): void {
    this.#deadlineTimer.dispose();
    this.request.signal.removeEventListener("abort", this.#abort);
    this.#abortController.abort();
  }
}
