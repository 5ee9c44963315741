/** Runs requests on replica groups and sees that answers are whole. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal } from "../types.ts";
import type { GroupDirectory, IPlace } from "./group_directory.ts";
import { notRun, unknown } from "./refusal.ts";
import type { IEngineToken, ILog, ITargets } from "./services.ts";
import type { IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Groups tried for one request before it is given up. */
const MAXIMUM_TRIES = 3;

/** When to come back if no replica group can serve, milliseconds. */
const NO_REPLICA_RETRY_AFTER = 2_000;

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
type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** Runs a request for tokens on replica groups of this zone. */
export class EngineRunner {
  readonly #groups: GroupDirectory;
  readonly #targets: ITargets;
  readonly #log: ILog;

  constructor(groups: GroupDirectory, targets: ITargets, log: ILog) {
    this.#groups = groups;
    this.#targets = targets;
    this.#log = log;
  }

  /** The whole answer, or why there is none. */
  async run(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    const parts: string[] = [];
    for await (const batch of this.stream(request)) {
      if (batch.isErr()) {
        return Err(batch.error);
      }
      for (const token of batch.value) {
        if (token.isEnd) {
          return Ok({ body: { text: parts.join(""), tokens: parts.length } });
        }
        parts.push(token.text);
      }
    }
    return Err(unknown(Reason.TargetLost, "the answer ended early"));
  }

  /**
   * Tokens in order without gaps. A stream that breaks goes on from the last
   * position on another connection; if that cannot be, it ends with an error
   * so that the caller never takes a part for the whole.
   */
  async *stream(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const body = generateSchema.safeParse(request.body);
    if (!body.success) {
      const detail = z.prettifyError(body.error);
      yield Err(notRun(Reason.BadRequest, detail));
      return;
    }
    let position = 0;
    const avoid = new Set<string>();
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const place = this.#groups.chooseGroup(request, avoid);
      if (place === null) {
        break;
      }
      const attempt = this.#attempt(request, body.data, { place, position });
      for await (const batch of attempt) {
        if (batch.isErr()) {
          this.#note(request, place, batch.error);
          break;
        }
        this.#groups.heard(place, batch.value.length);
        position += batch.value.filter((token) => !token.isEnd).length;
        yield Ok(batch.value);
        this.#groups.resumed(place);
        if (batch.value.at(-1)?.isEnd) {
          return;
        }
      }
      avoid.add(place.id);
      if (request.signal.aborted) {
        yield Err(unknown(Reason.CallerLeft, "the caller is gone"));
        return;
      }
    }
    yield Err(this.#giveUp(request, avoid.size > 0));
  }

  async *#attempt(
    request: ICallerRequest,
    body: GenerateBody,
    from: { readonly place: IPlace; readonly position: number },
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    const { place, position } = from;
    if (place.group === null) {
      const kind = CallFailureKind.NotSent;
      yield Err({ kind, detail: `${place.id} is no replica group` });
      return;
    }
    const end = this.#groups.begin(place);
    try {
      yield* this.#targets.generate(
        place.address,
        {
          requestId: request.requestId,
          group: place.group.id,
          generation: place.group.generation,
          prompt: body.prompt,
          maximumTokens: body.maximum_tokens,
          priority: request.account.plan.priority,
          resumeFrom: position,
        },
        request.signal,
      );
    } finally {
      end();
    }
  }

  #note(request: ICallerRequest, place: IPlace, failure: ICallFailure): void {
    const { kind, detail } = failure;
    this.#log.warn("engine_attempt_failed", {
      request: request.requestId,
      group: place.id,
      kind,
      detail,
    });
  }

  #giveUp(request: ICallerRequest, wasTried: boolean): IRefusal {
    const { name } = request.service;
    if (!wasTried) {
      const detail = `no complete replica group of ${name} in this zone`;
      return notRun(Reason.NoReplica, detail, NO_REPLICA_RETRY_AFTER);
    }
    const detail = `the replica groups of ${name} broke off`;
    return unknown(Reason.TargetLost, detail, NO_REPLICA_RETRY_AFTER);
  }
}
