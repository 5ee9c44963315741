/** Keeps run records in the platform, so that a call runs at most once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import {
  Finding,
  judgeFound,
  openRecord,
  parseRunRecord,
  RUN_KIND,
} from "../runs/run_record.ts";
import type { IRunKey, RunRecord, RunState } from "../runs/run_record.ts";
import { Reason } from "../types.ts";
import type { IRefusal, RequestId } from "../types.ts";
import { notRun, unknown } from "./refusal.ts";
import { WriteFailureKind } from "./services.ts";
import type { IClock, ILog, IPlatform, IRandom } from "./services.ts";

/** When to come back while the platform is away, milliseconds. */
const PLATFORM_RETRY_AFTER = 2_000;

/** When to ask again for a call in progress, milliseconds. */
const IN_PROGRESS_RETRY_AFTER = 1_000;

/** Tries to record how a call ended before leaving it open. */
const FINISH_TRIES = 5;

/** Pause between two such tries, milliseconds. */
const FINISH_PAUSE = 500;

/** The right to run a call once. */
export interface IRunPermit {
  readonly record: RunRecord;
  readonly version: number;
}

/** Either the right to run, or the answer recorded earlier. */
export type RunStart =
  | { readonly kind: "run"; readonly permit: IRunPermit }
  | { readonly kind: "recorded"; readonly answer: unknown };

/** Creates, finds and finishes run records. */
export class RunRecordService {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #random: IRandom;
  readonly #log: ILog;

  constructor(ports: {
    readonly platform: IPlatform;
    readonly clock: IClock;
    readonly random: IRandom;
    readonly log: ILog;
  }) {
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#random = ports.random;
    this.#log = ports.log;
  }

  /** Asks for the right to run; given to at most one try for each key. */
  async begin(
    run: IRunKey,
    bodyDigest: string,
    requestId: RequestId,
  ): Promise<Result<RunStart, IRefusal>> {
    const record = openRecord(run, {
      bodyDigest,
      requestId,
      attempt: this.#random.identifier(),
      createdAt: this.#clock.calendar(),
    });
    const written = await this.#platform.write({
      kind: RUN_KIND,
      name: nameOf(run),
      value: record,
      expectedVersion: null,
    });
    if (written.isOk()) {
      const permit = { record, version: written.value };
      return Ok({ kind: "run", permit });
    }
    if (written.error.kind === WriteFailureKind.NotApplied) {
      return Err(platformAway(written.error.detail));
    }
    return this.#judge(run, record);
  }

  /** Records how the call ended. */
  async finish(
    permit: IRunPermit,
    state: RunState,
    answer: unknown,
  ): Promise<void> {
    const record: RunRecord = { ...permit.record, state, answer };
    for (let tries = 0; tries < FINISH_TRIES; tries++) {
      const written = await this.#platform.write({
        kind: RUN_KIND,
        name: nameOf(record),
        value: record,
        expectedVersion: permit.version,
      });
      if (written.isOk() || written.error.kind === WriteFailureKind.Conflict) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.#clock.after(FINISH_PAUSE, resolve);
      });
    }
    const { operation, requestId } = record;
    const fields = { operation, request: requestId, state };
    this.#log.error("run_record_left_open", fields);
  }

  /** Reads back what stands under the key. */
  async #judge(
    run: IRunKey,
    mine: RunRecord,
  ): Promise<Result<RunStart, IRefusal>> {
    const found = await this.#platform.read(RUN_KIND, nameOf(run));
    if (found.isErr()) {
      return Err(platformAway(found.error.detail));
    }
    if (found.value.isNone()) {
      return Err(platformAway("the run record could not be created"));
    }
    const { version, value } = found.value.value;
    const record = parseRunRecord(value);
    if (record === null) {
      const detail = "the run record under this key does not parse";
      return Err(unknown(Reason.InProgress, detail));
    }
    if (record.attempt === mine.attempt) {
      return Ok({ kind: "run", permit: { record, version } });
    }
    return this.#answerFound(record, version, mine);
  }

  async #answerFound(
    record: RunRecord,
    version: number,
    mine: RunRecord,
  ): Promise<Result<RunStart, IRefusal>> {
    switch (judgeFound(record, mine.bodyDigest)) {
      case Finding.Recorded:
        return Ok({ kind: "recorded", answer: record.answer });
      case Finding.BodyDiffers: {
        const detail = "the Idempotency-Key was used with another body";
        return Err(notRun(Reason.KeyReused, detail));
      }
      case Finding.InProgress: {
        const detail = "a call with this key is in progress";
        const retryAfter = IN_PROGRESS_RETRY_AFTER;
        return Err(unknown(Reason.InProgress, detail, retryAfter));
      }
      case Finding.Unknown: {
        const detail = "a call with this key may have run";
        return Err(unknown(Reason.TargetLost, detail));
      }
      case Finding.MayTakeOver:
        return this.#takeOver(mine, version);
    }
  }

  async #takeOver(
    mine: RunRecord,
    version: number,
  ): Promise<Result<RunStart, IRefusal>> {
    const written = await this.#platform.write({
      kind: RUN_KIND,
      name: nameOf(mine),
      value: mine,
      expectedVersion: version,
    });
    if (written.isErr()) {
      return Err(platformAway(written.error.detail));
    }
    const permit = { record: mine, version: written.value };
    return Ok({ kind: "run", permit });
  }
}

/** The name of a record; parts are encoded so that they cannot run together. */
function nameOf(run: IRunKey): string {
  return [run.account, run.operation, run.key]
    .map((part) => encodeURIComponent(part))
    .join(":");
}

function platformAway(detail: string): IRefusal {
  return notRun(Reason.PlatformUnavailable, detail, PLATFORM_RETRY_AFTER);
}
