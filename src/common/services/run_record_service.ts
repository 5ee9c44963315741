/** Keeps run records in the platform, so that a call runs at most once. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { locationOf } from "../runs/run_location.ts";
import {
  Finding,
  judgeFound,
  openRecord,
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

/** When to come back while the platform is away, milliseconds. */
const PLATFORM_RETRY_AFTER = 2_000;

/** When to ask again for a call in progress, milliseconds. */
const IN_PROGRESS_RETRY_AFTER = 1_000;

/**
 * Writes tried for one right to run. A lost answer takes one more, another
 * caller's withdrawn try one more; beyond that the caller is told to come back.
 */
const BEGIN_TRIES = 3;

/**
 * Largest answer kept, bytes: the platform's megabyte less the record's other
 * fields, whose key, account and digests stay below 10 KB.
 */
const LARGEST_KEPT_ANSWER = 980_000;

/** How long a stopping daemon waits for records to settle, milliseconds. */
const DRAIN_BOUND = 10_000;

/** The right to run a call once. */
export interface IRunPermit {
  readonly record: RunRecord;
  readonly version: number;
}

/** Either the right to run, or the answer recorded earlier. */
export type RunStart =
  | { readonly kind: "run"; readonly permit: IRunPermit }
  | {
      readonly kind: "recorded";
      readonly answer: unknown;
      readonly omitted: OmittedAnswer | null;
    };

/** What is asked to run once. */
export interface IRunRequest {
  readonly bodyDigest: string;
  readonly requestId: RequestId;
  /** Milliseconds after which a record still open was left behind. */
  readonly openFor: number;
}

/** What the record service works with. */
export interface IRunRecordPorts {
  readonly platform: IPlatform;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /** Digest of a text, for answers that are too large to keep. */
  readonly digest: (text: string) => string;
}

type Found = { readonly record: RunRecord; readonly version: number } | null;

/** What one write and the reading after it came to. */
type Step =
  | { readonly kind: "start"; readonly start: Result<RunStart, IRefusal> }
  | { readonly kind: "again"; readonly expectedVersion: number | null }
  | { readonly kind: "stuck"; readonly detail: string };

/** Creates, finds and finishes run records. */
export class RunRecordService {
  readonly #ports: IRunRecordPorts;
  readonly #settler: RunRecordRetryQueue;

  constructor(ports: IRunRecordPorts) {
    this.#ports = ports;
    this.#settler = new RunRecordRetryQueue(ports);
  }

  /**
   * Asks for the right to run; given to at most one try for each key. A try
   * that ends "not run" while a write of it may still land is withdrawn in
   * the background, so that the key is not blocked by a run nobody makes.
   */
  async begin(
    run: IRunKey,
    request: IRunRequest,
  ): Promise<Result<RunStart, IRefusal>> {
    const mine = this.#open(run, request);
    let expectedVersion: number | null = null;
    let isInDoubt = false;
    let detail = "the run record could not be created";
    for (let tries = 0; tries < BEGIN_TRIES; tries++) {
      const written = await this.#write(mine, expectedVersion);
      if (written.isOk()) {
        const permit = { record: mine, version: written.value };
        return Ok({ kind: "run", permit });
      }
      isInDoubt ||= written.error.kind === WriteFailureKind.Unknown;
      const step = await this.#afterFailure(mine, written.error);
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
      this.#settler.withdraw(mine);
    }
    return Err(platformAway(detail));
  }

  /**
   * Records how the call ended. One write is waited for; if it fails, the
   * caller is not kept waiting and the rest is done in the background.
   */
  async finish(
    permit: IRunPermit,
    state: RunState,
    answer: unknown,
  ): Promise<void> {
    const kept = this.#keepable(answer);
    const record: RunRecord = { ...permit.record, state, ...kept };
    const written = await this.#write(record, permit.version);
    if (written.isErr() && written.error.kind !== WriteFailureKind.Conflict) {
      this.#settler.finish(record, permit.version);
    }
  }

  /** Waits, within a bound, until all that is known is recorded. */
  async close(): Promise<void> {
    await this.#settler.drain(DRAIN_BOUND);
  }

  #open(run: IRunKey, request: IRunRequest): RunRecord {
    const { clock, random } = this.#ports;
    const { bodyDigest, requestId, openFor } = request;
    const createdAt = clock.calendar();
    return openRecord(run, {
      bodyDigest,
      requestId,
      attempt: random.identifier(),
      createdAt,
      openUntil: createdAt + openFor,
    });
  }

  async #afterFailure(mine: RunRecord, failure: IWriteFailure): Promise<Step> {
    if (failure.kind === WriteFailureKind.NotApplied) {
      return { kind: "stuck", detail: failure.detail };
    }
    const found = await this.#find(mine);
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
    const finding = judgeFound(record, mine, this.#ports.clock.calendar());
    return finding === Finding.MayTakeOver
      ? { kind: "again", expectedVersion: version }
      : { kind: "start", start: answerFound(finding, { record, version }) };
  }

  /** Reads back what stands under the key. */
  async #find(
    mine: RunRecord,
  ): Promise<Result<Found | "unreadable", ICallFailure>> {
    const { kind, name } = locationOf(mine);
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
    const place = locationOf(record);
    const write = { ...place, value: record, expectedVersion };
    return this.#ports.platform.write(write);
  }

  /** The answer, or what stands for one that the platform cannot hold. */
  #keepable(answer: unknown): Pick<RunRecord, "answer" | "omitted"> {
    const text = JSON.stringify(answer) ?? "null";
    const bytes = new TextEncoder().encode(text).length;
    if (bytes <= LARGEST_KEPT_ANSWER) {
      return { answer, omitted: null };
    }
    const digest = this.#ports.digest(text);
    return { answer: null, omitted: { digest, bytes } };
  }
}

function answerFound(
  finding: Exclude<Finding, Finding.MayTakeOver>,
  permit: IRunPermit,
): Result<RunStart, IRefusal> {
  const { answer, omitted } = permit.record;
  switch (finding) {
    case Finding.Mine:
      return Ok({ kind: "run", permit });
    case Finding.Recorded:
      return Ok({ kind: "recorded", answer, omitted });
    case Finding.BodyDiffers: {
      const detail = "the Idempotency-Key was used with another body";
      return Err(notRun(Reason.KeyReused, detail));
    }
    case Finding.InProgress: {
      const detail = "a call with this key is in progress; ask again for it";
      const retryAfter = IN_PROGRESS_RETRY_AFTER;
      return Err(outcomeUnknown(Reason.InProgress, detail, retryAfter));
    }
    case Finding.Unknown: {
      const detail =
        "a call with this key may have run; look at the service whether it " +
        "did, and use a new key only if it did not";
      return Err(outcomeUnknown(Reason.OutcomeUnknown, detail));
    }
  }
}

function platformAway(detail: string): IRefusal {
  return notRun(Reason.PlatformUnavailable, detail, PLATFORM_RETRY_AFTER);
}
