/** Runs requests forwarded by daemons of other zones. */
import { Err } from "ts-results-es";
import type { EffectivePlans } from "../plans/effective_plans.ts";
import { Reason } from "../types.ts";
import type { IServiceDefinition, ServiceName } from "../types.ts";
import type { AdmissionService } from "./admission_service.ts";
import type { EngineRunner } from "./engine_runner.ts";
import type { IForwardedRequest, TokenBatch } from "./forwarding.ts";
import { notRun } from "./refusal.ts";
import type { IClock } from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** Retry delay given by a daemon that is shutting down, milliseconds. */
const SHUTDOWN_RETRY_AFTER = 500;

/**
 * Serves from this zone's own groups only: a forwarded request is not forwarded
 * again. With a second hop, requests could circulate between two full zones and
 * raise the load in both without any new caller.
 */
export class ForwardService {
  readonly #admission: AdmissionService;
  readonly #engines: EngineRunner;
  readonly #plans: EffectivePlans;
  readonly #services: ReadonlyMap<ServiceName, IServiceDefinition>;
  readonly #clock: IClock;
  #inFlight = 0;
  #isStopping = false;
  #whenIdle: (() => void) | null = null;

  constructor(parts: {
    readonly admission: AdmissionService;
    readonly engines: EngineRunner;
    readonly plans: EffectivePlans;
    readonly services: ReadonlyMap<ServiceName, IServiceDefinition>;
    readonly clock: IClock;
  }) {
    this.#admission = parts.admission;
    this.#engines = parts.engines;
    this.#plans = parts.plans;
    this.#services = parts.services;
    this.#clock = parts.clock;
  }

  /** Answers a request forwarded by another zone. */
  async *serve(
    forwarded: IForwardedRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenBatch> {
    if (this.#isStopping) {
      const detail = "this daemon is shutting down";
      yield Err(notRun(Reason.ShuttingDown, detail, SHUTDOWN_RETRY_AFTER));
      return;
    }
    const request = this.#resolve(forwarded, signal);
    if (request === null) {
      const detail = "the account, service or operation is not known here";
      yield Err(notRun(Reason.NoSuchOperation, detail));
      return;
    }
    this.#inFlight += 1;
    try {
      yield* this.#run(request);
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) {
        this.#whenIdle?.();
      }
    }
  }

  /** Refuses new requests; resolves when those in flight are done. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.#whenIdle = resolve;
      });
    }
  }

  async *#run(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const admitted = await this.#admission.admitForwarded(request);
    if ("outcome" in admitted) {
      yield Err(admitted);
      return;
    }
    let tokens = 0;
    try {
      for await (const batch of this.#engines.stream(request)) {
        tokens += batch.isOk() ? batch.value.length : 0;
        yield batch;
      }
    } finally {
      admitted.finish(tokens);
    }
  }

  #resolve(
    forwarded: IForwardedRequest,
    signal: AbortSignal,
  ): ICallerRequest | null {
    const { body, requestId, resumeFrom } = forwarded;
    const account = this.#plans.accounts.find(
      ({ customer }) => customer.account === forwarded.account,
    );
    const service = this.#services.get(forwarded.service);
    const operation = service?.operations.get(forwarded.operation);
    if (!account || !service || !operation) {
      return null;
    }
    const arrivedAt = this.#clock.now();
    const deadline = arrivedAt + forwarded.remaining;
    const unused = { bodyDigest: "", key: null };
    const parties = { account, service, operation };
    const times = { arrivedAt, deadline };
    return {
      ...{ requestId, body, signal, resumeFrom },
      ...{ ...parties, ...times, ...unused },
    };
  }
}
