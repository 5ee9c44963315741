/** Runs non-repeatable calls at most once for each idempotency key. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { RunState } from "../runs/run_record.ts";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal } from "../types.ts";
import type { GroupDirectory, IChosenTarget } from "./group_directory.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import type { IRunPermit, RunRecordService } from "./run_record_service.ts";
import type { IClock, ITargets } from "./services.ts";
import type { IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Targets tried for one call; the next only if none before it has acted. */
const MAXIMUM_ATTEMPTS = 3;

/** Retry delay given to a caller while no target can serve, milliseconds. */
const NO_TARGET_RETRY_AFTER = 2_000;

/** Retry delay for a run that is past its deadline, milliseconds. */
const STILL_RUNNING_RETRY_AFTER = 2_000;

/**
 * How long a target's answer is awaited after the caller's deadline,
 * milliseconds. The target acts in any case; its late answer is recorded for
 * the caller's next request with the same key.
 */
const RESPONSE_GRACE = 30_000;

/**
 * How much longer an open record counts as in progress, milliseconds: covers
 * the writes that finish it, each bounded by seconds, and clock skew.
 */
const OPEN_RECORD_GRACE = 30_000;

type RunResult = Result<IBufferedAnswer, IRefusal>;

/** Dependencies of {@link AtMostOnceRunner}. */
export interface IAtMostOnceParts {
  readonly groups: GroupDirectory;
  readonly targets: ITargets;
  readonly records: RunRecordService;
  readonly clock: IClock;
}

/**
 * Runs a call after writing its record. Once it is sent, a caller that disconnects
 * does not cancel the call: the target might act and its answer be lost, and
 * the caller's retry would be told "unknown" needlessly.
 */
export class AtMostOnceRunner {
  readonly #parts: IAtMostOnceParts;
  readonly #runs = new Set<Promise<RunResult>>();

  constructor(parts: IAtMostOnceParts) {
    this.#parts = parts;
  }

  /** Resolves with the answer of the only run, or with a refusal. */
  async run(request: ICallerRequest): Promise<RunResult> {
    if (request.key === null) {
      const detail = "this operation needs an Idempotency-Key header";
      return Err(notRun(Reason.IdempotencyKeyRequired, detail));
    }
    if (this.#chooseTarget(request, new Set()) === null) {
      return Err(noTarget(request, this.#parts.groups));
    }
    const start = await this.#beginRun(request, request.key);
    if (start.isErr()) {
      return Err(start.error);
    }
    if (start.value.kind === "recorded") {
      const { answer, omitted } = start.value;
      return Ok({ body: answer, omitted });
    }
    const run = this.#execute(request, start.value.permit);
    this.#runs.add(run);
    void run.finally(() => this.#runs.delete(run));
    return this.#waitUntilDeadline(request, run);
  }

  /** Waits for runs whose callers have disconnected or were answered. */
  async drain(): Promise<void> {
    await Promise.allSettled(this.#runs);
  }

  #beginRun(request: ICallerRequest, key: string) {
    const { clock, records } = this.#parts;
    const run = {
      account: request.account.customer.account,
      operation: `${request.service.name}/${request.operation.name}`,
      key,
    };
    const { bodyDigest, requestId } = request;
    const remaining = Math.max(0, request.deadline - clock.now());
    const openFor = remaining + RESPONSE_GRACE + OPEN_RECORD_GRACE;
    return records.begin(run, { bodyDigest, requestId, openFor });
  }

  /** Calls a target, and records the outcome before answering. */
  async #execute(
    request: ICallerRequest,
    permit: IRunPermit,
  ): Promise<RunResult> {
    const { clock, groups, records } = this.#parts;
    const avoid = new Set<string>();
    let refusal = noTarget(request, groups);
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const target = this.#chooseTarget(request, avoid);
      if (request.signal.aborted) {
        refusal = notRun(Reason.CallerLeft, "the caller is gone");
        break;
      }
      if (clock.now() >= request.deadline) {
        refusal = notRun(Reason.DeadlinePassed, "no time was left to run it");
      }
      if (target === null || clock.now() >= request.deadline) {
        break;
      }
      const answer = await this.#call(request, target);
      if (answer.isOk()) {
        await records.finish(permit, RunState.Completed, answer.value);
        return Ok({ body: answer.value });
      }
      const { kind, detail } = answer.error;
      if (kind === CallFailureKind.Unknown) {
        await records.finish(permit, RunState.Unknown, null);
        return Err(outcomeUnknown(Reason.TargetLost, detail));
      }
      avoid.add(target.id);
      const retryAfter =
        groups.overloadedFor(request.service.name) ?? NO_TARGET_RETRY_AFTER;
      refusal = notRun(Reason.TargetRefused, detail, retryAfter);
    }
    await records.finish(permit, RunState.NotRun, null);
    return Err(refusal);
  }

  async #call(
    request: ICallerRequest,
    target: IChosenTarget,
  ): Promise<Result<unknown, ICallFailure>> {
    const { clock, groups, targets } = this.#parts;
    const end = groups.beginRequest(target);
    const { requestId, operation, body } = request;
    const timeout = request.deadline - clock.now() + RESPONSE_GRACE;
    const call = {
      requestId,
      operation: operation.name,
      body,
      timeout,
      needsNewConnection: true,
      isStillDue: () => !request.signal.aborted,
    };
    try {
      const neverAborted = new AbortController().signal;
      const answer = await targets.call(target.address, call, neverAborted);
      groups.recordTokens(target, answer.isOk() ? 1 : 0);
      return answer;
    } finally {
      end();
    }
  }

  /** Resolves with the run's result, or with a refusal at the deadline. */
  async #waitUntilDeadline(
    request: ICallerRequest,
    run: Promise<RunResult>,
  ): Promise<RunResult> {
    const { clock } = this.#parts;
    let cancel = () => {};
    const expired = new Promise<RunResult>((resolve) => {
      const remaining = Math.max(0, request.deadline - clock.now());
      const timer = clock.after(remaining, () => {
        const detail = "still running at its deadline; ask again with its key";
        const retryAfter = STILL_RUNNING_RETRY_AFTER;
        resolve(Err(outcomeUnknown(Reason.DeadlinePassed, detail, retryAfter)));
      });
      cancel = () => timer.dispose();
    });
    const result = await Promise.race([run, expired]);
    cancel();
    return result;
  }

  #chooseTarget(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    return this.#parts.groups.choosePlain(request, avoid);
  }
}

/** Creates the refusal for a service without a usable target. */
export function noTarget(
  request: ICallerRequest,
  groups: GroupDirectory,
): IRefusal {
  const { name } = request.service;
  const detail = `no target of ${name} in this zone takes calls now`;
  const retryAfter = groups.overloadedFor(name) ?? NO_TARGET_RETRY_AFTER;
  return notRun(Reason.NoReplicaAvailable, detail, retryAfter);
}
