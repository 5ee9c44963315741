/**
 * Serves from this zone, and from another zone where this one cannot.
 *
 * What goes wrong without it: a fabric domain goes dark and every caller of
 * the zone is refused while the next zone has idle groups. Zones are several
 * milliseconds apart over costly links, so this zone always goes first.
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

/** Daemons of other zones asked for one request before it is given up. */
const MAXIMUM_HANDOVERS = 2;

/** What the runner works with. */
export interface ISpillingEngineRunnerParts {
  readonly local: EngineRunner;
  readonly forwarder: IForwarder;
  /** Daemons of zones that have complete groups of a service, best first. */
  readonly targets: (service: ServiceName) => readonly ISpillTarget[];
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
}

/** What the last source of tokens came to. */
interface IProgress {
  position: number;
  isWhole: boolean;
  refusal: IRefusal | null;
}

/** Runs requests for tokens wherever they can be run. */
export class SpillingEngineRunner {
  readonly #parts: ISpillingEngineRunnerParts;

  constructor(parts: ISpillingEngineRunnerParts) {
    this.#parts = parts;
  }

  /** Tokens in order without gaps, from one zone or from several in turn. */
  async *stream(request: ICallerRequest): AsyncIterable<TokenBatch> {
    const progress: IProgress = {
      position: request.resumeFrom,
      isWhole: false,
      refusal: null,
    };
    yield* this.#local(request, progress);
    const targets = this.#parts.targets(request.service.name);
    for (const target of targets.slice(0, MAXIMUM_HANDOVERS)) {
      if (progress.isWhole || !this.#maySpill(request, progress.refusal)) {
        break;
      }
      yield* this.#remote(request, target, progress);
    }
    if (!progress.isWhole) {
      const early = outcomeUnknown(Reason.TargetLost, "the answer ended early");
      yield Err(progress.refusal ?? early);
    }
  }

  #local(
    request: ICallerRequest,
    progress: IProgress,
  ): AsyncIterable<TokenBatch> {
    return follow(this.#parts.local.stream(request), progress);
  }

  async *#remote(
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
    const forwarded = this.#forwarded(request, progress.position);
    const tokens = forwarder.generate(
      target.address,
      forwarded,
      request.signal,
    );
    const before = progress.refusal;
    yield* follow(tokens, progress);
    if (progress.refusal?.outcome === Outcome.NotRun && mayHaveRun(before)) {
      progress.refusal = before;
    }
  }

  #forwarded(request: ICallerRequest, position: number): IForwardedRequest {
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
   * Only where this zone's groups are missing or broke off. A refusal for load
   * is the caller's final answer and is given before this is reached: handing
   * it on would move a full zone's load to its neighbours all at once.
   */
  #maySpill(request: ICallerRequest, refusal: IRefusal | null): boolean {
    const isLost =
      refusal?.reason === Reason.NoReplica ||
      refusal?.reason === Reason.TargetLost;
    const hasTime = this.#parts.clock.now() < request.deadline;
    return isLost && hasTime && !request.signal.aborted;
  }
}

function mayHaveRun(refusal: IRefusal | null): boolean {
  return refusal?.outcome === Outcome.Unknown;
}

/** Passes tokens on, keeps the position, and holds the final word back. */
async function* follow(
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
      progress.isWhole = true;
      return;
    }
    progress.position = last ? last.sequence + 1 : progress.position;
  }
}
