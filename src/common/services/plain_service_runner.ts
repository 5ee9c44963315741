/** Runs calls on plain services; those that may not be repeated, once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { Reason } from "../types.ts";
import type { ICallFailure, IRefusal } from "../types.ts";
import type { IChosenTarget } from "./group_directory.ts";
import { noTarget, AtMostOnceRunner } from "./at_most_once_runner.ts";
import type { IAtMostOnceParts } from "./at_most_once_runner.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import type { RetryService } from "./retry_service.ts";
import type { IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Targets tried for one repeatable call before it is given up. */
const MAXIMUM_TRIES = 3;

/**
 * Silence after which a repeatable call is sent again, milliseconds. Without
 * it a connection that has gone silent would cost a caller its whole deadline.
 */
const LONGEST_SILENCE = 2_000;

/** When to come back if no target can serve, milliseconds. */
const NO_TARGET_RETRY_AFTER = 2_000;

/** What the runner works with. */
export interface IPlainServiceRunnerParts extends IAtMostOnceParts {
  readonly retries: RetryService;
}

/** Runs calls on plain services of this zone. */
export class PlainServiceRunner {
  readonly #parts: IPlainServiceRunnerParts;
  readonly #once: AtMostOnceRunner;

  constructor(parts: IPlainServiceRunnerParts) {
    this.#parts = parts;
    this.#once = new AtMostOnceRunner(parts);
  }

  /** The whole answer, or why there is none. */
  async run(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    return request.operation.repeatable
      ? this.#runRepeatable(request)
      : this.#once.run(request);
  }

  /** Waits for runs that go on without their callers, and their records. */
  async close(): Promise<void> {
    await this.#once.drain();
    await this.#parts.records.close();
  }

  async #runRepeatable(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    const { clock, groups, retries } = this.#parts;
    const avoid = new Set<string>();
    retries.recordFirstAttempt(request);
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const place = groups.choosePlain(request, avoid);
      if (place === null || clock.now() >= request.deadline) {
        break;
      }
      const answer = await this.#call(request, place);
      if (answer.isOk()) {
        return Ok({ body: answer.value });
      }
      if (request.signal.aborted) {
        return Err(outcomeUnknown(Reason.CallerLeft, "the caller is gone"));
      }
      avoid.add(place.id);
      if (!(await retries.waitForRetry(request))) {
        break;
      }
    }
    return Err(this.#giveUp(request, avoid.size > 0));
  }

  async #call(
    request: ICallerRequest,
    place: IChosenTarget,
  ): Promise<Result<unknown, ICallFailure>> {
    const { clock, groups, targets } = this.#parts;
    const end = groups.beginRequest(place);
    const { requestId, operation, body } = request;
    const left = request.deadline - clock.now();
    const call = {
      requestId,
      operation: operation.name,
      body,
      timeout: Math.min(left, LONGEST_SILENCE),
      onNewConnection: false,
    };
    try {
      const { signal } = request;
      const answer = await targets.call(place.address, call, signal);
      groups.recordTokens(place, answer.isOk() ? 1 : 0);
      return answer;
    } finally {
      end();
    }
  }

  #giveUp(request: ICallerRequest, wasTried: boolean): IRefusal {
    const isLate = this.#parts.clock.now() >= request.deadline;
    if (isLate) {
      const detail = "no answer by the deadline";
      return wasTried
        ? outcomeUnknown(Reason.DeadlinePassed, detail)
        : notRun(Reason.DeadlinePassed, detail);
    }
    if (!wasTried) {
      return noTarget(request);
    }
    const detail = `no target of ${request.service.name} answered`;
    return outcomeUnknown(Reason.TargetLost, detail, NO_TARGET_RETRY_AFTER);
  }
}
