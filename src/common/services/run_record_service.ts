/** Keeps run records on the platform, so that a call runs at most once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { runRecordLocation } from "../runs/run_record_location.ts";
import {
  ExistingRecordStatus,
  classifyExistingRecord,
  createOpenRecord,
  parseRunRecord,
} from "../runs/run_record.ts";
import type {
  IRunKey,
  OmittedAnswer,
  RunRecord,
  RunState,
} from "../runs/run_record.ts";
import { Reason } from "../types.ts";
import type { ICallFailure, IRefusal, RequestId } from "../types.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import { RunRecordRetryQueue } from "./run_record_retry_queue.ts";
import { WriteFailureKind } from "./services.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IPlatform,
  IRandom,
  IWriteFailure,
} from "./services.ts";

/** Retry delay while the platform is unavailable, milliseconds. */
const PLATFORM_RETRY_AFTER = 2_000;

/** Retry delay for a call in progress, milliseconds. */
const IN_PROGRESS_RETRY_AFTER = 1_000;

/**
 * Writes attempted to obtain one permit: one more after a lost answer and one
 * more after another caller's withdrawn attempt. Then the caller must retry.
 */
const MAXIMUM_BEGIN_WRITES = 3;

/**
 * Largest answer stored, bytes: the platform's limit of 1 MB less the record's
 * other fields, whose key, account and digests stay below 10 KB.
 */
const LARGEST_STORED_ANSWER = 980_000;

/** How long shutdown waits for pending records to be written, milliseconds. */
const DRAIN_TIMEOUT = 10_000;

/** Permission to run a call once. */
export interface IRunPermit {
  readonly record: RunRecord;
  readonly version: number;
}

/** Either permission to run, or the answer recorded earlier. */
export type RunStart =
  | { readonly kind: "run"; readonly permit: IRunPermit }
  | {
      readonly kind: "recorded";
      readonly answer: unknown;
      readonly omitted: OmittedAnswer | null;
    };

/** The request that a permit is for. */
export interface IRunRequest {
  readonly bodyDigest: string;
  readonly requestId: RequestId;
  /** Milliseconds after which an open record counts as abandoned. */
  readonly openFor: number;
}

/** Dependencies of {@link RunRecordService}. */
export interface IRunRecordPorts {
  readonly platform: IPlatform;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /** Computes a text's digest, for answers that are too large to store. */
  readonly digest: (text: string) => string;
}

type StoredRecord = {
  readonly record: RunRecord;
  readonly version: number;
} | null;

/** The next step after a failed write and the read that followed it. */
type Step =
  | { readonly kind: "start"; readonly start: Result<RunStart, IRefusal> }
  | { readonly kind: "again"; readonly expectedVersion: number | null }
  | { readonly kind: "stuck"; readonly detail: string };

/** Creates, finds and finishes run records. */
export class RunRecordService {
  readonly #ports: IRunRecordPorts;
  readonly #retryQueue: RunRecordRetryQueue;

  constructor(ports: IRunRecordPorts) {
    this.#ports = ports;
    this.#retryQueue = new RunRecordRetryQueue(ports);
  }

  /**
   * Requests a permit; at most one attempt for each key obtains it. An attempt
   * that ends "not run" while its write may still take effect is withdrawn in
   * the background, so that it does not block the key.
   */
  async begin(
    run: IRunKey,
    request: IRunRequest,
  ): Promise<Result<RunStart, IRefusal>> {
    const mine = this.#createOpenRecord(run, request);
    let expectedVersion: number | null = null;
    let isInDoubt = false;
    let detail = "the run record could not be created";
    for (let attempt = 0; attempt < MAXIMUM_BEGIN_WRITES; attempt++) {
      const written = await this.#write(mine, expectedVersion);
      if (written.isOk()) {
        const permit = { record: mine, version: written.value };
        return Ok({ kind: "run", permit });
      }
      isInDoubt ||= written.error.kind === WriteFailureKind.Unknown;
      const step = await this.#handleWriteFailure(mine, written.error);
      if (step.kind === "start") {
        return step.start;
      }
      if (step.kind === "stuck") {
        detail = step.detail;
        break;
      }
      expectedVersion = step.expectedVersion;
    }
    if (isInDoubt) {
      this.#retryQueue.withdraw(mine);
    }
    return Err(platformUnavailable(detail));
  }

  /**
   * Records how the call ended. Only the first write is awaited; if it fails,
   * it is retried in the background so that the caller need not wait.
   */
  async finish(
    permit: IRunPermit,
    state: RunState,
    answer: unknown,
  ): Promise<void> {
    const storable = this.#storableAnswer(answer);
    const record: RunRecord = { ...permit.record, state, ...storable };
    const written = await this.#write(record, permit.version);
    if (written.isErr() && written.error.kind !== WriteFailureKind.Conflict) {
      this.#retryQueue.finish(record, permit.version);
    }
  }

  /** Waits, up to a limit, for pending records to be written. */
  async close(): Promise<void> {
    await this.#retryQueue.drain(DRAIN_TIMEOUT);
  }

  #createOpenRecord(run: IRunKey, request: IRunRequest): RunRecord {
    const { clock, random } = this.#ports;
    const { bodyDigest, requestId, openFor } = request;
    const createdAt = clock.calendar();
    return createOpenRecord(run, {
      bodyDigest,
      requestId,
      attempt: random.identifier(),
      createdAt,
      openUntil: createdAt + openFor,
    });
  }

  async #handleWriteFailure(
    mine: RunRecord,
    failure: IWriteFailure,
  ): Promise<Step> {
    if (failure.kind === WriteFailureKind.NotApplied) {
      return { kind: "stuck", detail: failure.detail };
    }
    const found = await this.#readStored(mine);
    if (found.isErr()) {
      return { kind: "stuck", detail: found.error.detail };
    }
    if (found.value === null) {
      return { kind: "again", expectedVersion: null };
    }
    if (found.value === "unreadable") {
      const detail = "the run record under this key does not parse";
      const start = Err(outcomeUnknown(Reason.OutcomeUnknown, detail));
      return { kind: "start", start };
    }
    const { record, version } = found.value;
    const finding = classifyExistingRecord(
      record,
      mine,
      this.#ports.clock.calendar(),
    );
    return finding === ExistingRecordStatus.MayTakeOver
      ? { kind: "again", expectedVersion: version }
      : {
          kind: "start",
          start: startFromFinding(finding, { record, version }),
        };
  }

  /** Reads the record stored under the key. */
  async #readStored(
    mine: RunRecord,
  ): Promise<Result<StoredRecord | "unreadable", ICallFailure>> {
    const { kind, name } = runRecordLocation(mine);
    const read = await this.#ports.platform.read(kind, name);
    return read.map((object) => {
      if (object.isNone()) {
        return null;
      }
      const { value, version } = object.value;
      const record = parseRunRecord(value);
      return record === null ? "unreadable" : { record, version };
    });
  }

  #write(
    record: RunRecord,
    expectedVersion: number | null,
  ): Promise<Result<number, IWriteFailure>> {
    const location = runRecordLocation(record);
    const write = { ...location, value: record, expectedVersion };
    return this.#ports.platform.write(write);
  }

  /** The answer, or its digest if it is too large for the platform. */
  #storableAnswer(answer: unknown): Pick<RunRecord, "answer" | "omitted"> {
    const text = JSON.stringify(answer) ?? "null";
    const bytes = new TextEncoder().encode(text).length;
    if (bytes <= LARGEST_STORED_ANSWER) {
      return { answer, omitted: null };
    }
    const digest = this.#ports.digest(text);
    return { answer: null, omitted: { digest, bytes } };
  }
}

function startFromFinding(
  finding: Exclude<ExistingRecordStatus, ExistingRecordStatus.MayTakeOver>,
  permit: IRunPermit,
): Result<RunStart, IRefusal> {
  const { answer, omitted } = permit.record;
  switch (finding) {
    case ExistingRecordStatus.OwnAttempt:
      return Ok({ kind: "run", permit });
    case ExistingRecordStatus.Recorded:
      return Ok({ kind: "recorded", answer, omitted });
    case ExistingRecordStatus.BodyDiffers: {
      const detail = "the Idempotency-Key was used with another body";
      return Err(notRun(Reason.IdempotencyKeyReused, detail));
    }
    case ExistingRecordStatus.InProgress: {
      const detail = "a call with this key is in progress; ask again for it";
      const retryAfter = IN_PROGRESS_RETRY_AFTER;
      return Err(outcomeUnknown(Reason.InProgress, detail, retryAfter));
    }
    case ExistingRecordStatus.Unknown: {
      const detail =
        "a call with this key may have run; look at the service whether it " +
        "did, and use a new key only if it did not";
      return Err(outcomeUnknown(Reason.OutcomeUnknown, detail));
    }
  }
}

function platformUnavailable(detail: string): IRefusal {
  return notRun(Reason.PlatformUnavailable, detail, PLATFORM_RETRY_AFTER);
}
