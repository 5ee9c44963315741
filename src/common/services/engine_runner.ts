/** Runs requests on replica groups and resumes interrupted answers. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal, ServiceName } from "../types.ts";
import { StreamProgress } from "./stream_progress.ts";
import type { GroupDirectory, IChosenTarget } from "./group_directory.ts";
import type { TokenBatch } from "./forwarding.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import { AttemptObserver } from "./request_quarantine.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RetryService } from "./retry_service.ts";
import type {
  IClock,
  IEngineToken,
  ILog,
  IMetrics,
  ITargets,
} from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** Retry delay given to a caller while no group can serve, milliseconds. */
const NO_REPLICA_RETRY_AFTER = 2_000;

/** How often an interrupted stream looks for a group, milliseconds. */
const GROUP_WAIT_INTERVAL = 100;

/**
 * Time after which groups that failed this request may be tried again,
 * milliseconds: the cause, such as a missing member, may be gone.
 */
const CLEAR_EXCLUDED_AFTER = 1_000;

const DEFAULT_MAXIMUM_TOKENS = 256;
const LARGEST_MAXIMUM_TOKENS = 32_768;

const generateSchema = z.strictObject({
  prompt: z.string().min(1),
  maximum_tokens: z
    .number()
    .int()
    .positive()
    .max(LARGEST_MAXIMUM_TOKENS)
    .default(DEFAULT_MAXIMUM_TOKENS),
});

type GenerateBody = z.infer<typeof generateSchema>;

/** Dependencies of {@link EngineRunner}. */
export interface IEngineRunnerParts {
  readonly groups: GroupDirectory;
  readonly retries: RetryService;
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly quarantine: RequestQuarantine;
  /** Whether another zone could resume a service's interrupted streams. */
  readonly isServedElsewhere: (service: ServiceName) => boolean;
}

/** Longest waits for an engine's tokens, milliseconds. */
export interface IEngineTimeouts {
  readonly firstToken: number;
  readonly nextToken: number;
}

/** Runs a request for tokens on replica groups of this zone. */
export class EngineRunner {
  readonly #parts: IEngineRunnerParts;
  readonly #timeouts: IEngineTimeouts;

  constructor(parts: IEngineRunnerParts, timeouts: IEngineTimeouts) {
    this.#parts = parts;
    this.#timeouts = timeouts;
  }

  /**
   * Yields tokens in order without gaps. An interrupted stream resumes from
   * the last position, on another group or on a new connection to the same
   * one. If that is impossible it ends with an error, so that the caller never
   * mistakes a partial answer for a complete one.
   */
  async *stream(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const body = generateSchema.safeParse(request.body);
    if (!body.success) {
      const detail = z.prettifyError(body.error);
      yield Err(notRun(Reason.BadRequest, detail));
      return;
    }
    const { groups, quarantine, retries } = this.#parts;
    retries.recordFirstAttempt(request);
    using progress = new StreamProgress(request, this.#parts.clock);
    while (progress.mayAttempt && (await this.#mayAttempt(progress))) {
      const refusal = quarantine.refusalOf(request, progress);
      if (refusal !== null) {
        yield Err(refusal);
        return;
      }
      const target = await this.#chooseGroup(request, progress);
      if (target === null) {
        break;
      }
      const observer = new AttemptObserver(quarantine, progress, target);
      for await (const batch of this.#attempt(body.data, {
        target,
        progress,
      })) {
        await observer.record(batch);
        if (batch.isErr()) {
          progress.recordFailure(target.id, batch.error);
          this.#reportFailure(request, target, batch.error);
          break;
        }
        progress.recordTokens(batch.value);
        groups.recordTokens(target, batch.value.length);
        yield Ok(batch.value);
        groups.recordReadResumed(target);
        if (progress.isComplete) {
          quarantine.recordWhole(request);
          return;
        }
      }
    }
    yield Err(this.#createRefusal(progress));
  }

  /**
   * Whether to make another attempt. Retries draw on the retry budget, except
   * for a stream that has started: its caller would lose what it has received.
   */
  async #mayAttempt(progress: StreamProgress): Promise<boolean> {
    const isFirst = progress.suspects.size === 0;
    const hasStarted = progress.position > 0;
    return (
      isFirst ||
      hasStarted ||
      (await this.#parts.retries.waitForRetry(progress.request))
    );
  }

  /**
   * Chooses a group. A stream that has started waits for one until its deadline:
   * groups that stalled may serve again, and its caller keeps its tokens.
   */
  async #chooseGroup(
    request: ICallerRequest,
    progress: StreamProgress,
  ): Promise<IChosenTarget | null> {
    const { clock, groups } = this.#parts;
    const since = clock.now();
    for (;;) {
      const waited = clock.now() - since;
      if (waited >= CLEAR_EXCLUDED_AFTER) {
        progress.clearExcluded();
      }
      const target =
        groups.chooseGroup(request, progress.suspects) ??
        groups.chooseGroup(request, progress.excluded);
      const hasStarted = progress.position > 0;
      const mayWait = hasStarted && !this.#isServedOnlyElsewhere(request);
      if (target !== null || !mayWait || progress.signal.aborted) {
        return target;
      }
      await new Promise<void>((resolve) => {
        clock.after(GROUP_WAIT_INTERVAL, resolve);
      });
    }
  }

  /** Whether only another zone can serve the request now. */
  #isServedOnlyElsewhere(request: ICallerRequest): boolean {
    const { groups, isServedElsewhere } = this.#parts;
    const { name } = request.service;
    return !groups.refresh(name) && isServedElsewhere(name);
  }

  async *#attempt(
    body: GenerateBody,
    on: { readonly target: IChosenTarget; readonly progress: StreamProgress },
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    const { target, progress } = on;
    const { groups, targets } = this.#parts;
    if (target.group === null) {
      const kind = CallFailureKind.NotSent;
      yield Err({ kind, detail: `${target.id} is no replica group` });
      return;
    }
    const { request } = progress;
    const call = {
      requestId: request.requestId,
      group: target.group.id,
      generation: target.group.generation,
      prompt: body.prompt,
      maximumTokens: body.maximum_tokens,
      priority: request.account.plan.priority,
      resumeFrom: progress.position,
    };
    const options = {
      firstTokenWithin: this.#timeouts.firstToken,
      nextTokenWithin: this.#timeouts.nextToken,
      signal: progress.signal,
    };
    const end = groups.beginRequest(target);
    try {
      yield* targets.generate(target.address, call, options);
    } finally {
      end();
    }
  }

  #reportFailure(
    request: ICallerRequest,
    target: IChosenTarget,
    failure: ICallFailure,
  ): void {
    const { kind, detail } = failure;
    this.#parts.metrics.count("engine_attempts_failed", { kind });
    this.#parts.log.warn("engine_attempt_failed", {
      request: request.requestId,
      group: target.id,
      kind,
      detail,
    });
  }

  #createRefusal(progress: StreamProgress): IRefusal {
    const { request, mayHaveRun } = progress;
    const { name } = request.service;
    if (request.signal.aborted) {
      return outcomeUnknown(Reason.CallerLeft, "the caller is gone");
    }
    if (progress.isDeadlinePassed) {
      const detail = "the answer was not whole by its deadline";
      const createRefusal = mayHaveRun ? outcomeUnknown : notRun;
      return createRefusal(Reason.DeadlinePassed, detail);
    }
    const retryAfter =
      this.#parts.groups.overloadedFor(name) ?? NO_REPLICA_RETRY_AFTER;
    if (!mayHaveRun) {
      const detail = `no complete replica group of ${name} took the request`;
      return notRun(Reason.NoReplicaAvailable, detail, retryAfter);
    }
    const detail = `the replica groups of ${name} broke off`;
    return outcomeUnknown(Reason.TargetLost, detail, retryAfter);
  }
}
