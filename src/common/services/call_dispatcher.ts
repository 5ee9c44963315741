/** Admits callers' requests and passes each to the runner that executes it. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { AnswerBound } from "../calls/answer_bounds.ts";
import type { IAnswerBoundRecorder } from "../calls/answer_bounds.ts";
import type { AnswerMemory } from "../calls/answer_memory.ts";
import { AnswerKind, Reason, ServiceKind } from "../types.ts";
import type { IRefusal } from "../types.ts";
import type { AdmissionService, IAdmission } from "./admission_service.ts";
import { collectAnswer } from "./collect_answer.ts";
import type { TokenBatch } from "./forwarding.ts";
import { notRun } from "./refusal.ts";
import type { PlainServiceRunner } from "./plain_service_runner.ts";
import type { IClock, IMetrics } from "./services.ts";
import type { SpillingEngineRunner } from "./spilling_engine_runner.ts";
import type { CallerAnswer, IBufferedAnswer, ICallerRequest } from "./types.ts";

/** Entry point for checked requests: checks the plan, admits and executes. */
export class CallDispatcher {
  readonly #admission: AdmissionService;
  readonly #engines: SpillingEngineRunner;
  readonly #services: PlainServiceRunner;
  readonly #clock: IClock;
  readonly #metrics: IMetrics;
  readonly #answers: AnswerMemory;
  readonly #recorder: IAnswerBoundRecorder;
  #inFlight = 0;

  constructor(parts: {
    readonly admission: AdmissionService;
    readonly engines: SpillingEngineRunner;
    readonly services: PlainServiceRunner;
    readonly clock: IClock;
    readonly metrics: IMetrics;
    readonly answers: AnswerMemory;
    readonly recorder: IAnswerBoundRecorder;
  }) {
    this.#admission = parts.admission;
    this.#engines = parts.engines;
    this.#services = parts.services;
    this.#clock = parts.clock;
    this.#metrics = parts.metrics;
    this.#answers = parts.answers;
    this.#recorder = parts.recorder;
  }

  /** Requests admitted or waiting whose final answer is still outstanding. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Resolves with the answer, or with the final refusal. */
  async dispatch(
    request: ICallerRequest,
  ): Promise<Result<CallerAnswer, IRefusal>> {
    const { plan } = request.account;
    if (!plan.services.includes(request.service.name)) {
      const detail = `plan ${plan.name} has no ${request.service.name}`;
      return Err(notRun(Reason.NotInPlan, detail));
    }
    this.#inFlight += 1;
    const admitted = await this.#admission.admit(request);
    if ("outcome" in admitted) {
      this.#inFlight -= 1;
      return Err(admitted);
    }
    if (request.operation.answer === AnswerKind.Stream) {
      return Ok({
        kind: "stream",
        answer: { tokens: this.#stream(request, admitted) },
      });
    }
    return this.#buffered(request, admitted);
  }

  async #buffered(
    request: ICallerRequest,
    admitted: IAdmission,
  ): Promise<Result<CallerAnswer, IRefusal>> {
    const isEngine = request.service.kind === ServiceKind.Engine;
    let tokens: number | null = null;
    try {
      const answer = isEngine
        ? await this.#collect(request)
        : await this.#services.run(request);
      if (answer.isOk()) {
        tokens = isEngine ? tokensOf(answer.value.body) : 1;
      }
      return answer.map((body) => ({ kind: "buffered", answer: body }));
    } finally {
      this.#finish(request, admitted, tokens);
    }
  }

  #collect(
    request: ICallerRequest,
  ): Promise<Result<IBufferedAnswer, IRefusal>> {
    const { name } = request.service;
    return collectAnswer(this.#engines.stream(request), {
      memory: this.#answers,
      onExceeded: () => this.#recorder.record(AnswerBound.Memory, name),
    });
  }

  /** Releases the admission when the consumer ends or abandons the stream. */
  async *#stream(
    request: ICallerRequest,
    admitted: IAdmission,
  ): AsyncIterable<TokenBatch> {
    let tokens = 0;
    let isComplete = false;
    try {
      for await (const batch of this.#engines.stream(request)) {
        if (batch.isOk()) {
          tokens += batch.value.length;
          isComplete = batch.value.at(-1)?.isEnd ?? false;
        }
        yield batch;
      }
    } finally {
      this.#finish(request, admitted, isComplete ? tokens : null);
    }
  }

  #finish(
    request: ICallerRequest,
    admitted: IAdmission,
    tokens: number | null,
  ): void {
    this.#inFlight -= 1;
    admitted.finish(tokens);
    const duration = this.#clock.now() - request.arrivedAt;
    this.#metrics.observe("request_duration", duration, {
      service: request.service.name,
      account: request.account.customer.account,
    });
  }
}

function tokensOf(body: unknown): number {
  const { tokens } = (body ?? {}) as { tokens?: unknown };
  return typeof tokens === "number" ? tokens : 1;
}
