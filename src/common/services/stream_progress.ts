/** How far one request for tokens has come over its attempts. */
import { CallFailureKind } from "../types.ts";
import type { ICallFailure } from "../types.ts";
import type { IClock, IEngineToken } from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** Attempts in a row that bring nothing before a request is given up. */
const MAXIMUM_VAIN_TRIES = 6;

/**
 * Keeps position, attempts and suspects of one request. Silence or a broken
 * connection is first taken as the connection's fault: the group becomes a
 * suspect that other groups are preferred to, and may be asked once more, on a
 * new connection. Only when that fails too is it given up for this request.
 *
 * Only attempts that bring nothing are counted: a long stream may well outlive
 * many groups, and its caller would lose what it has.
 */
export class StreamProgress implements Disposable {
  readonly request: ICallerRequest;
  readonly suspects = new Set<string>();
  readonly excluded = new Set<string>();
  readonly #ending = new AbortController();
  readonly #endOfTime: { dispose(): void };
  readonly #end = () => this.#ending.abort();
  /** Failed attempts since the last token. */
  #vainTries = 0;
  #position: number;
  #isWhole = false;
  #isLate = false;
  #mayHaveRun = false;

  constructor(request: ICallerRequest, clock: IClock) {
    this.request = request;
    this.#position = request.resumeFrom;
    const left = Math.max(0, request.deadline - clock.now());
    this.#endOfTime = clock.after(left, () => {
      this.#isLate = true;
      this.#end();
    });
    request.signal.addEventListener("abort", this.#end, { once: true });
  }

  /** Aborted when the caller leaves or the deadline passes. */
  get signal(): AbortSignal {
    return this.#ending.signal;
  }

  /** The sequence number of the next token. */
  get position(): number {
    return this.#position;
  }

  get isComplete(): boolean {
    return this.#isWhole;
  }

  get isDeadlinePassed(): boolean {
    return this.#isLate;
  }

  /** Whether an engine may have worked on it. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  get mayAttempt(): boolean {
    return this.#vainTries < MAXIMUM_VAIN_TRIES && !this.signal.aborted;
  }

  /** Tokens have been passed on to the caller. */
  recordTokens(tokens: readonly IEngineToken[]): void {
    const last = tokens.at(-1);
    if (last !== undefined) {
      this.#vainTries = 0;
      this.#mayHaveRun = true;
      this.#isWhole = last.isEnd;
      this.#position = last.isEnd ? last.sequence : last.sequence + 1;
    }
  }

  /** An attempt at a group has failed. */
  recordFailure(group: string, failure: ICallFailure): void {
    this.#vainTries += 1;
    const isUnsure = failure.kind === CallFailureKind.Unknown;
    this.#mayHaveRun ||= isUnsure;
    if (!isUnsure || this.suspects.has(group)) {
      this.excluded.add(group);
    }
    this.suspects.add(group);
  }

  /** Lets groups be asked again that have failed this request. */
  clearExcluded(): void {
    this.excluded.clear();
  }

  [Symbol.dispose](): void {
    this.#endOfTime.dispose();
    this.request.signal.removeEventListener("abort", this.#end);
    this.#ending.abort();
  }
}
