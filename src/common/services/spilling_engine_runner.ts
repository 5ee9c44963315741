/**
 * Serves from this zone, and from another zone where this one cannot.
 *
 * Without it, callers of a zone that has lost a fabric domain would be refused
 * while another zone has idle groups. Zones are several milliseconds apart
 * over costly links, so the local zone is always tried first.
 */
import { Err } from "ts-results-es";
import { Outcome, Reason } from "../types.ts";
import type { IRefusal, ServiceName } from "../types.ts";
import type { EngineRunner } from "./engine_runner.ts";
import type {
  IForwardedRequest,
  IForwarder,
  ISpillTarget,
  TokenBatch,
} from "./forwarding.ts";
import { outcomeUnknown } from "./refusal.ts";
import type { IClock, ILog, IMetrics } from "./services.ts";
import type { ICallerRequest } from "./types.ts";

/** Daemons of other zones that one request is forwarded to at most. */
const MAXIMUM_FORWARDS = 2;

/** Dependencies of {@link SpillingEngineRunner}. */
export interface ISpillingEngineRunnerParts {
  readonly local: EngineRunner;
  readonly forwarder: IForwarder;
  /** Daemons of zones with complete groups of a service, best first. */
  readonly targets: (service: ServiceName) => readonly ISpillTarget[];
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
}

/** State of an answer after the last zone that produced tokens for it. */
interface IProgress {
  position: number;
  isComplete: boolean;
  refusal: IRefusal | null;
}

/** Runs requests for tokens in this zone, then in others. */
export class SpillingEngineRunner {
  readonly #parts: ISpillingEngineRunnerParts;

  constructor(parts: ISpillingEngineRunnerParts) {
    this.#parts = parts;
  }

  /** Yields tokens in order without gaps, from one or more zones in turn. */
  async *stream(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const progress: IProgress = {
      position: request.resumeFrom,
      isComplete: false,
      refusal: null,
    };
    yield* this.#streamLocal(request, progress);
    const targets = this.#parts.targets(request.service.name);
    for (const target of targets.slice(0, MAXIMUM_FORWARDS)) {
      if (progress.isComplete || !this.#maySpill(request, progress.refusal)) {
        break;
      }
      yield* this.#streamRemote(request, target, progress);
    }
    if (!progress.isComplete) {
      const early = outcomeUnknown(Reason.TargetLost, "the answer ended early");
      yield Err(progress.refusal ?? early);
    }
  }

  #streamLocal(
    request: ICallerRequest,
    progress: IProgress,
  ): AsyncIterable<TokenBatch> {
    return relayTokens(this.#parts.local.stream(request), progress);
  }

  async *#streamRemote(
    request: ICallerRequest,
    target: ISpillTarget,
    progress: IProgress,
  ): AsyncIterable<TokenBatch> {
    const { forwarder, log, metrics } = this.#parts;
    const { requestId, service } = request;
    const { zone } = target;
    metrics.count("requests_spilled", { service: service.name, zone });
    const fields = { service: service.name, zone, from: progress.position };
    log.info("request_spilled", { request: requestId, ...fields });
    const forwarded = this.#toForwardedRequest(request, progress.position);
    const tokens = forwarder.generate(
      target.address,
      forwarded,
      request.signal,
    );
    const previousRefusal = progress.refusal;
    yield* relayTokens(tokens, progress);
    if (
      progress.refusal?.outcome === Outcome.NotRun &&
      mayHaveRun(previousRefusal)
    ) {
      progress.refusal = previousRefusal;
    }
  }

  #toForwardedRequest(
    request: ICallerRequest,
    position: number,
  ): IForwardedRequest {
    return {
      requestId: request.requestId,
      account: request.account.customer.account,
      service: request.service.name,
      operation: request.operation.name,
      body: request.body,
      remaining: Math.max(0, request.deadline - this.#parts.clock.now()),
      resumeFrom: position,
    };
  }

  /**
   * Allows spilling only when this zone's groups are missing or failed. Load
   * refusals are final and are made at admission: forwarding them would move a
   * full zone's load to the other zones all at once.
   */
  #maySpill(request: ICallerRequest, refusal: IRefusal | null): boolean {
    const isUnserved =
      refusal?.reason === Reason.NoReplicaAvailable ||
      refusal?.reason === Reason.TargetLost;
    const hasTime = this.#parts.clock.now() < request.deadline;
    return isUnserved && hasTime && !request.signal.aborted;
  }
}

function mayHaveRun(refusal: IRefusal | null): boolean {
  return refusal?.outcome === Outcome.Unknown;
}

/** Passes tokens on and records progress; a refusal is kept, not yielded. */
async function* relayTokens(
  tokens: AsyncIterable<TokenBatch>,
  progress: IProgress,
): AsyncIterable<TokenBatch> {
  progress.refusal = null;
  for await (const batch of tokens) {
    if (batch.isErr()) {
      progress.refusal = batch.error;
      return;
    }
    yield batch;
    const last = batch.value.at(-1);
    if (last?.isEnd) {
      progress.isComplete = true;
      return;
    }
    progress.position = last ? last.sequence + 1 : progress.position;
  }
}
