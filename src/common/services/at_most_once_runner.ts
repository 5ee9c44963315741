/** Runs calls that may not be repeated: at most once for each key. */
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

/** Targets tried for one call; a further one only if none has acted. */
const MAXIMUM_TRIES = 3;

/** When to come back if no target can serve, milliseconds. */
const NO_TARGET_RETRY_AFTER = 2_000;

/** When to ask again for a run that has outlived its deadline. */
const LATE_RETRY_AFTER = 2_000;

/**
 * How long a target is listened to beyond the caller's deadline, milliseconds.
 * The target acts whether or not anyone listens; its late answer is recorded
 * for the caller's next try with the same key.
 */
const LISTENING_GRACE = 30_000;

/**
 * How much longer an open record counts as being worked on: the writes that
 * finish it, each bounded by seconds, and calendar clocks that differ.
 */
const OPEN_GRACE = 30_000;

type RunResult = Result<IBufferedAnswer, IRefusal>;

/** What a run that may not be repeated needs. */
export interface IAtMostOnceParts {
  readonly groups: GroupDirectory;
  readonly targets: ITargets;
  readonly records: RunRecordService;
  readonly clock: IClock;
}

/**
 * Runs a call once its record stands. From then on the caller has no say: if
 * its leaving cancelled the call, the target might act and its answer be lost,
 * and the caller's next try would be told "unknown" for nothing.
 */
export class AtMostOnceRunner {
  readonly #parts: IAtMostOnceParts;
  readonly #runs = new Set<Promise<RunResult>>();

  constructor(parts: IAtMostOnceParts) {
    this.#parts = parts;
  }

  /** The answer of the one run, or why there is none. */
  async run(request: ICallerRequest): Promise<RunResult> {
    if (request.key === null) {
      const detail = "this operation needs an Idempotency-Key header";
      return Err(notRun(Reason.KeyRequired, detail));
    }
    if (this.#choose(request, new Set()) === null) {
      return Err(noTarget(request));
    }
    const start = await this.#begin(request, request.key);
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
    return this.#untilDeadline(request, run);
  }

  /** Waits for runs whose callers have left or been answered already. */
  async drain(): Promise<void> {
    await Promise.allSettled(this.#runs);
  }

  #begin(request: ICallerRequest, key: string) {
    const { clock, records } = this.#parts;
    const run = {
      account: request.account.customer.account,
      operation: `${request.service.name}/${request.operation.name}`,
      key,
    };
    const { bodyDigest, requestId } = request;
    const left = Math.max(0, request.deadline - clock.now());
    const openFor = left + LISTENING_GRACE + OPEN_GRACE;
    return records.begin(run, { bodyDigest, requestId, openFor });
  }

  /** Calls a target, and records how that ended before answering. */
  async #execute(
    request: ICallerRequest,
    permit: IRunPermit,
  ): Promise<RunResult> {
    const { clock, records } = this.#parts;
    const avoid = new Set<string>();
    let refusal = noTarget(request);
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const place = this.#choose(request, avoid);
      if (clock.now() >= request.deadline) {
        refusal = notRun(Reason.DeadlinePassed, "no time was left to run it");
      }
      if (place === null || clock.now() >= request.deadline) {
        break;
      }
      const answer = await this.#call(request, place);
      if (answer.isOk()) {
        await records.finish(permit, RunState.Completed, answer.value);
        return Ok({ body: answer.value });
      }
      const { kind, detail } = answer.error;
      if (kind === CallFailureKind.Unknown) {
        await records.finish(permit, RunState.Unknown, null);
        return Err(outcomeUnknown(Reason.TargetLost, detail));
      }
      avoid.add(place.id);
      refusal = notRun(Reason.TargetRefused, detail, NO_TARGET_RETRY_AFTER);
    }
    await records.finish(permit, RunState.NotRun, null);
    return Err(refusal);
  }

  async #call(
    request: ICallerRequest,
    place: IChosenTarget,
  ): Promise<Result<unknown, ICallFailure>> {
    const { clock, groups, targets } = this.#parts;
    const end = groups.beginRequest(place);
    const { requestId, operation, body } = request;
    const timeout = request.deadline - clock.now() + LISTENING_GRACE;
    const call = {
      requestId,
      operation: operation.name,
      body,
      timeout,
      onNewConnection: true,
    };
    try {
      const nobodyCancels = new AbortController().signal;
      const answer = await targets.call(place.address, call, nobodyCancels);
      groups.recordTokens(place, answer.isOk() ? 1 : 0);
      return answer;
    } finally {
      end();
    }
  }

  /** The run's result, or at the deadline that it is still running. */
  async #untilDeadline(
    request: ICallerRequest,
    run: Promise<RunResult>,
  ): Promise<RunResult> {
    const { clock } = this.#parts;
    let cancel = () => {};
    const late = new Promise<RunResult>((resolve) => {
      const left = Math.max(0, request.deadline - clock.now());
      const timer = clock.after(left, () => {
        const detail = "still running at its deadline; ask again with its key";
        const retryAfter = LATE_RETRY_AFTER;
        resolve(Err(outcomeUnknown(Reason.DeadlinePassed, detail, retryAfter)));
      });
      cancel = () => timer.dispose();
    });
    const result = await Promise.race([run, late]);
    cancel();
    return result;
  }

  #choose(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    return this.#parts.groups.choosePlain(request, avoid);
  }
}

/** No target of the service can take the call. */
export function noTarget(request: ICallerRequest): IRefusal {
  const detail = `no target of ${request.service.name} in this zone`;
  return notRun(Reason.NoReplica, detail, NO_TARGET_RETRY_AFTER);
}
