/** Runs calls on plain services; non-repeatable calls run at most once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { Reason } from "../types.ts";
import type { ICallFailure, IRefusal } from "../types.ts";
import { CallRace } from "./call_race.ts";
import type { IChosenTarget } from "./group_directory.ts";
import { noTarget, AtMostOnceRunner } from "./at_most_once_runner.ts";
import type { IAtMostOnceParts } from "./at_most_once_runner.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import type { RetryService } from "./retry_service.ts";
import type { IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Targets tried for one repeatable call before it fails. */
const MAXIMUM_ATTEMPTS = 3;

/**
 * Idle time after which a repeatable call is also sent to another target,
 * milliseconds. Without it, one stalled connection would use up the caller's
 * whole deadline.
 */
const RESPONSE_TIMEOUT = 2_000;

/** Retry delay given to a caller when no target answered, milliseconds. */
const NO_TARGET_RETRY_AFTER = 2_000;

/** Dependencies of {@link PlainServiceRunner}. */
export interface IPlainServiceRunnerParts extends IAtMostOnceParts {
  readonly retries: RetryService;
}

/** Runs calls on plain services of this zone. */
export class PlainServiceRunner {
  readonly #parts: IPlainServiceRunnerParts;
  readonly #atMostOnce: AtMostOnceRunner;

  constructor(parts: IPlainServiceRunnerParts) {
    this.#parts = parts;
    this.#atMostOnce = new AtMostOnceRunner(parts);
  }

  /** Resolves with the complete answer, or with a refusal. */
  async run(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    return request.operation.repeatable
      ? this.#runRepeatable(request)
      : this.#atMostOnce.run(request);
  }

  /** Waits for runs that outlive their callers, and for their records. */
  async close(): Promise<void> {
    await this.#atMostOnce.drain();
    await this.#parts.records.close();
  }

  async #runRepeatable(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    const { clock, retries } = this.#parts;
    retries.recordFirstAttempt(request);
    using race = new CallRace(clock, request.signal);
    const avoid = new Set<string>();
    let mayRetry = true;
    do {
      mayRetry =
        mayRetry &&
        avoid.size < MAXIMUM_ATTEMPTS &&
        (avoid.size === 0 || (await retries.waitForRetry(request))) &&
        this.#startAttempt(request, { race, avoid });
      const left = request.deadline - clock.now();
      const wait = mayRetry ? Math.min(left, RESPONSE_TIMEOUT) : left;
      const result = await race.next(Math.max(0, wait));
      if (result?.isOk()) {
        return Ok({ body: result.value });
      }
      if (request.signal.aborted) {
        return Err(outcomeUnknown(Reason.CallerLeft, "the caller is gone"));
      }
    } while (clock.now() < request.deadline && (mayRetry || race.hasNext));
    return Err(this.#createRefusal(request, race.mayHaveRun));
  }

  /** Returns false if no further target takes the call. */
  #startAttempt(
    request: ICallerRequest,
    call: { readonly race: CallRace; readonly avoid: Set<string> },
  ): boolean {
    const { race, avoid } = call;
    const target = this.#parts.groups.choosePlain(request, avoid);
    if (target === null) {
      return false;
    }
    avoid.add(target.id);
    race.start((signal) => this.#call(request, target, signal));
    return true;
  }

  async #call(
    request: ICallerRequest,
    target: IChosenTarget,
    signal: AbortSignal,
  ): Promise<Result<unknown, ICallFailure>> {
    const { clock, groups, targets } = this.#parts;
    const end = groups.beginRequest(target);
    const { requestId, operation, body } = request;
    const remaining = request.deadline - clock.now();
    const call = {
      requestId,
      operation: operation.name,
      body,
      timeout: remaining,
      suspectAfter: RESPONSE_TIMEOUT,
      needsNewConnection: false,
    };
    try {
      const answer = await targets.call(target.address, call, signal);
      groups.recordTokens(target, answer.isOk() ? 1 : 0);
      return answer;
    } finally {
      end();
    }
  }

  #createRefusal(request: ICallerRequest, mayHaveRun: boolean): IRefusal {
    const { clock, groups } = this.#parts;
    const isLate = clock.now() >= request.deadline;
    if (isLate) {
      const detail = "no answer by the deadline";
      return mayHaveRun
        ? outcomeUnknown(Reason.DeadlinePassed, detail)
        : notRun(Reason.DeadlinePassed, detail);
    }
    if (!mayHaveRun) {
      return noTarget(request, groups);
    }
    const detail = `no target of ${request.service.name} answered`;
    return outcomeUnknown(Reason.TargetLost, detail, NO_TARGET_RETRY_AFTER);
  }
}
