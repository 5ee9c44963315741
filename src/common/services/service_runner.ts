/** Runs calls on plain services; those that may not be repeated, once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { RunState } from "../runs/run_record.ts";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal } from "../types.ts";
import type { GroupDirectory, IPlace } from "./group_directory.ts";
import { notRun, unknown } from "./refusal.ts";
import type { RunRecordService } from "./run_record_service.ts";
import type { IClock, ITargets } from "./services.ts";
import type { IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Targets tried for one repeatable call before it is given up. */
const MAXIMUM_TRIES = 3;

/** When to come back if no target can serve, milliseconds. */
const NO_TARGET_RETRY_AFTER = 2_000;

/** Runs calls on plain services of this zone. */
export class ServiceRunner {
  readonly #groups: GroupDirectory;
  readonly #targets: ITargets;
  readonly #records: RunRecordService;
  readonly #clock: IClock;

  constructor(parts: {
    readonly groups: GroupDirectory;
    readonly targets: ITargets;
    readonly records: RunRecordService;
    readonly clock: IClock;
  }) {
    this.#groups = parts.groups;
    this.#targets = parts.targets;
    this.#records = parts.records;
    this.#clock = parts.clock;
  }

  /** The whole answer, or why there is none. */
  async run(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    return request.operation.repeatable
      ? this.#runRepeatable(request)
      : this.#runOnce(request);
  }

  async #runRepeatable(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    const avoid = new Set<string>();
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const place = this.#groups.choosePlain(request, avoid);
      if (place === null) {
        break;
      }
      const answer = await this.#call(request, place);
      if (answer.isOk()) {
        return Ok({ body: answer.value });
      }
      avoid.add(place.id);
    }
    if (avoid.size === 0) {
      return Err(this.#noTarget(request));
    }
    const detail = `no target of ${request.service.name} answered`;
    return Err(unknown(Reason.TargetLost, detail, NO_TARGET_RETRY_AFTER));
  }

  async #runOnce(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    if (request.key === null) {
      const detail = "this operation needs an Idempotency-Key header";
      return Err(notRun(Reason.KeyRequired, detail));
    }
    const place = this.#groups.choosePlain(request, new Set());
    if (place === null) {
      return Err(this.#noTarget(request));
    }
    const run = {
      account: request.account.customer.account,
      operation: `${request.service.name}/${request.operation.name}`,
      key: request.key,
    };
    const { bodyDigest, requestId } = request;
    const start = await this.#records.begin(run, bodyDigest, requestId);
    if (start.isErr()) {
      return Err(start.error);
    }
    if (start.value.kind === "recorded") {
      return Ok({ body: start.value.answer });
    }
    const { permit } = start.value;
    const answer = await this.#call(request, place);
    if (answer.isOk()) {
      await this.#records.finish(permit, RunState.Completed, answer.value);
      return Ok({ body: answer.value });
    }
    const didRun = answer.error.kind === CallFailureKind.Unknown;
    const state = didRun ? RunState.Unknown : RunState.NotRun;
    await this.#records.finish(permit, state, null);
    return Err(this.#explain(answer.error));
  }

  async #call(
    request: ICallerRequest,
    place: IPlace,
  ): Promise<Result<unknown, ICallFailure>> {
    const end = this.#groups.begin(place);
    try {
      const timeout = request.deadline - this.#clock.now();
      const answer = await this.#targets.call(
        place.address,
        {
          requestId: request.requestId,
          operation: request.operation.name,
          body: request.body,
          timeout,
        },
        request.signal,
      );
      this.#groups.heard(place, answer.isOk() ? 1 : 0);
      return answer;
    } finally {
      end();
    }
  }

  #explain(failure: ICallFailure): IRefusal {
    if (failure.kind === CallFailureKind.Unknown) {
      return unknown(Reason.TargetLost, failure.detail);
    }
    const { detail } = failure;
    return notRun(Reason.TargetRefused, detail, NO_TARGET_RETRY_AFTER);
  }

  #noTarget(request: ICallerRequest): IRefusal {
    const detail = `no target of ${request.service.name} in this zone`;
    return notRun(Reason.NoReplica, detail, NO_TARGET_RETRY_AFTER);
  }
}
