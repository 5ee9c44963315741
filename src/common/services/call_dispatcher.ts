/** Admits callers' requests and sends each to the runner that answers it. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { AccountUse } from "../decisions/admission.ts";
import type { IEffectiveAccount } from "../plans/types.ts";
import { AnswerKind, Reason, ServiceKind } from "../types.ts";
import type { AccountName, IRefusal } from "../types.ts";
import type { EngineRunner } from "./engine_runner.ts";
import { notRun } from "./refusal.ts";
import type { ServiceRunner } from "./service_runner.ts";
import type { IEngineToken, IClock, IMetrics } from "./services.ts";
import type { CallerAnswer, ICallerRequest } from "./types.ts";

type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** The one way from a checked request to its answer. */
export class CallDispatcher {
  readonly #engines: EngineRunner;
  readonly #services: ServiceRunner;
  readonly #clock: IClock;
  readonly #metrics: IMetrics;
  readonly #uses = new Map<AccountName, AccountUse>();
  #inFlight = 0;

  constructor(parts: {
    readonly engines: EngineRunner;
    readonly services: ServiceRunner;
    readonly clock: IClock;
    readonly metrics: IMetrics;
  }) {
    this.#engines = parts.engines;
    this.#services = parts.services;
    this.#clock = parts.clock;
    this.#metrics = parts.metrics;
  }

  /** Requests admitted and not yet finally answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Answers a request, or says finally why not. */
  async dispatch(
    request: ICallerRequest,
  ): Promise<Result<CallerAnswer, IRefusal>> {
    const { plan } = request.account;
    if (!plan.services.includes(request.service.name)) {
      const detail = `plan ${plan.name} has no ${request.service.name}`;
      return Err(notRun(Reason.NotInPlan, detail));
    }
    const use = this.#useOf(request.account);
    const refusal = use.admit(plan, this.#clock.now());
    if (refusal !== null) {
      const detail = `plan ${plan.name} is used up`;
      return Err(notRun(refusal.reason, detail, refusal.retryAfter));
    }
    this.#inFlight += 1;
    const finish = () => this.#finish(request, use);
    if (request.operation.answer === AnswerKind.Stream) {
      const tokens = this.#finishing(this.#engines.stream(request), finish);
      return Ok({ kind: "stream", answer: { tokens } });
    }
    try {
      return await this.#buffered(request);
    } finally {
      finish();
    }
  }

  async #buffered(
    request: ICallerRequest,
  ): Promise<Result<CallerAnswer, IRefusal>> {
    const isEngine = request.service.kind === ServiceKind.Engine;
    const runner = isEngine ? this.#engines : this.#services;
    const answer = await runner.run(request);
    return answer.map((body) => ({ kind: "buffered", answer: body }) as const);
  }

  /** Ends the accounting of a stream when its consumer is done with it. */
  async *#finishing(
    tokens: AsyncIterable<TokenBatch>,
    finish: () => void,
  ): AsyncIterable<TokenBatch> {
    try {
      yield* tokens;
    } finally {
      finish();
    }
  }

  #finish(request: ICallerRequest, use: AccountUse): void {
    this.#inFlight -= 1;
    use.finished();
    const duration = this.#clock.now() - request.arrivedAt;
    this.#metrics.observe("request_duration", duration, {
      service: request.service.name,
      account: request.account.customer.account,
    });
  }

  #useOf(account: IEffectiveAccount): AccountUse {
    const name = account.customer.account;
    let use = this.#uses.get(name);
    if (use === undefined) {
      use = new AccountUse();
      this.#uses.set(name, use);
    }
    return use;
  }
}
