/** Runs requests on replica groups and sees that answers are whole. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal, ServiceName } from "../types.ts";
import { StreamProgress } from "./stream_progress.ts";
import type { GroupDirectory, IChosenTarget } from "./group_directory.ts";
import type { TokenBatch } from "./forwarding.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import type { RetryService } from "./retry_service.ts";
import type {
  IClock,
  IEngineToken,
  ILog,
  IMetrics,
  ITargets,
} from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** When to come back if no replica group can serve, milliseconds. */
const NO_REPLICA_RETRY_AFTER = 2_000;

/**
 * How long a broken stream waits for a group to go on with, milliseconds: a
 * group that has lost a member serves again within seconds if there is a
 * spare, and the caller keeps what it has.
 */
const LONGEST_WAIT_FOR_GROUP = 10_000;
const WAIT_STEP = 100;

/**
 * Wait after which groups that failed this request are asked again,
 * milliseconds: a refusal such as "a member is missing" may be over.
 */
const FORGIVE_AFTER = 1_000;

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

/** What the runner works with. */
export interface IEngineRunnerParts {
  readonly groups: GroupDirectory;
  readonly retries: RetryService;
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /** Whether another zone could go on with a service's broken streams. */
  readonly isServedElsewhere: (service: ServiceName) => boolean;
}

/** Longest silences of an engine, milliseconds. */
export interface IEngineTimeouts {
  readonly firstToken: number;
  readonly nextToken: number;
}

/** Runs a request for tokens on replica groups of this zone. */
export class EngineRunner {
  readonly #parts: IEngineRunnerParts;
  readonly #bounds: IEngineTimeouts;

  constructor(parts: IEngineRunnerParts, bounds: IEngineTimeouts) {
    this.#parts = parts;
    this.#bounds = bounds;
  }

  /**
   * Tokens in order without gaps. A stream that breaks goes on from the last
   * position, on another group or on a new connection to the same; if that
   * cannot be, it ends with an error so that the caller never takes a part for
   * the whole.
   */
  async *stream(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const body = generateSchema.safeParse(request.body);
    if (!body.success) {
      const detail = z.prettifyError(body.error);
      yield Err(notRun(Reason.BadRequest, detail));
      return;
    }
    const { groups, retries } = this.#parts;
    retries.recordFirstAttempt(request);
    using effort = new StreamProgress(request, this.#parts.clock);
    while (effort.mayAttempt && (await this.#mayGoOn(effort))) {
      const place = await this.#choose(request, effort);
      if (place === null) {
        break;
      }
      for await (const batch of this.#attempt(body.data, { place, effort })) {
        if (batch.isErr()) {
          effort.recordFailure(place.id, batch.error);
          this.#note(request, place, batch.error);
          break;
        }
        effort.recordTokens(batch.value);
        groups.recordTokens(place, batch.value.length);
        yield Ok(batch.value);
        groups.recordReadResumed(place);
        if (effort.isComplete) {
          return;
        }
      }
    }
    yield Err(this.#giveUp(effort));
  }

  /**
   * Whether to try. A second try is paid for from the retry budget; a stream
   * already begun always goes on, since its caller would lose what it has.
   */
  async #mayGoOn(effort: StreamProgress): Promise<boolean> {
    const isFirst = effort.suspects.size === 0;
    const isBegun = effort.position > 0;
    return (
      isFirst ||
      isBegun ||
      (await this.#parts.retries.waitForRetry(effort.request))
    );
  }

  /** A group to go on with; a stream already begun waits for one a while. */
  async #choose(
    request: ICallerRequest,
    effort: StreamProgress,
  ): Promise<IChosenTarget | null> {
    const { clock, groups } = this.#parts;
    const since = clock.now();
    for (;;) {
      const waited = clock.now() - since;
      if (waited >= FORGIVE_AFTER) {
        effort.clearExcluded();
      }
      const place =
        groups.chooseGroup(request, effort.suspects) ??
        groups.chooseGroup(request, effort.excluded);
      const isBegun = effort.position > 0;
      const isTimeLeft = waited < LONGEST_WAIT_FOR_GROUP;
      const mayWait = isBegun && isTimeLeft && !this.#isElsewhere(request);
      if (place !== null || !mayWait || effort.signal.aborted) {
        return place;
      }
      await new Promise<void>((resolve) => {
        clock.after(WAIT_STEP, resolve);
      });
    }
  }

  /** Whether another zone can go on at once where this one cannot. */
  #isElsewhere(request: ICallerRequest): boolean {
    const { groups, isServedElsewhere } = this.#parts;
    const { name } = request.service;
    return !groups.refresh(name) && isServedElsewhere(name);
  }

  async *#attempt(
    body: GenerateBody,
    on: { readonly place: IChosenTarget; readonly effort: StreamProgress },
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    const { place, effort } = on;
    const { groups, targets } = this.#parts;
    if (place.group === null) {
      const kind = CallFailureKind.NotSent;
      yield Err({ kind, detail: `${place.id} is no replica group` });
      return;
    }
    const { request } = effort;
    const call = {
      requestId: request.requestId,
      group: place.group.id,
      generation: place.group.generation,
      prompt: body.prompt,
      maximumTokens: body.maximum_tokens,
      priority: request.account.plan.priority,
      resumeFrom: effort.position,
    };
    const options = {
      firstTokenWithin: this.#bounds.firstToken,
      nextTokenWithin: this.#bounds.nextToken,
      signal: effort.signal,
    };
    const end = groups.beginRequest(place);
    try {
      yield* targets.generate(place.address, call, options);
    } finally {
      end();
    }
  }

  #note(
    request: ICallerRequest,
    place: IChosenTarget,
    failure: ICallFailure,
  ): void {
    const { kind, detail } = failure;
    this.#parts.metrics.count("engine_attempts_failed", { kind });
    this.#parts.log.warn("engine_attempt_failed", {
      request: request.requestId,
      group: place.id,
      kind,
      detail,
    });
  }

  #giveUp(effort: StreamProgress): IRefusal {
    const { request, mayHaveRun } = effort;
    const { name } = request.service;
    if (request.signal.aborted) {
      return outcomeUnknown(Reason.CallerLeft, "the caller is gone");
    }
    if (effort.isDeadlinePassed) {
      const detail = "the answer was not whole by its deadline";
      const say = mayHaveRun ? outcomeUnknown : notRun;
      return say(Reason.DeadlinePassed, detail);
    }
    if (!mayHaveRun) {
      const detail = `no complete replica group of ${name} took the request`;
      return notRun(Reason.NoReplica, detail, NO_REPLICA_RETRY_AFTER);
    }
    const detail = `the replica groups of ${name} broke off`;
    return outcomeUnknown(Reason.TargetLost, detail, NO_REPLICA_RETRY_AFTER);
  }
}
