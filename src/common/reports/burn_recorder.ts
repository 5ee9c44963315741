/** Counts request results by service and client account. */
import { Outcome, Reason } from "../types.ts";
import type { IClock } from "../services/services.ts";
import type { ICallerRequest } from "../services/types.ts";
import { BurnCounter } from "./burn_counter.ts";
import { BurnMeasure } from "./burn_types.ts";
import type { IDaemonBurn, Objectives } from "./burn_types.ts";
import { RequestObserver } from "./request_observer.ts";
import type { IRequestResult } from "./request_observer.ts";

/**
 * Refusals caused by the caller itself or by its plan's limits. The objectives
 * cover only what a plan allows, so these count neither as good nor as bad.
 */
const EXCLUDED_REASONS: ReadonlySet<Reason> = new Set([
  Reason.UnknownCaller,
  Reason.NotInPlan,
  Reason.NoSuchOperation,
  Reason.BadRequest,
  Reason.IdempotencyKeyRequired,
  Reason.IdempotencyKeyReused,
  Reason.InProgress,
  Reason.OverLimit,
  Reason.CallerLeft,
]);

type Counters = Record<BurnMeasure, BurnCounter>;

/** The counts of one daemon; they are lost when it stops. */
export class BurnRecorder {
  readonly #clock: IClock;
  readonly #objectives: Objectives;
  readonly #since: number;
  readonly #counters = new Map<string, Counters>();

  constructor(clock: IClock, objectives: Objectives) {
    this.#clock = clock;
    this.#objectives = objectives;
    this.#since = clock.calendar();
  }

  /** Observes a request from its arrival to its final answer. */
  observeRequest(request: ICallerRequest): RequestObserver {
    return new RequestObserver(request, this.#clock, (result) =>
      this.#record(request, result),
    );
  }

  /** Returns all counts so far. */
  read(daemon: string, zone: string): IDaemonBurn {
    const now = this.#clock.calendar();
    const parts = [...this.#counters].map(([key, counters]) => {
      const [service, account] = JSON.parse(key) as [string, string];
      const measures = {
        [BurnMeasure.WholeOnTime]: counters.whole_on_time.read(now),
        [BurnMeasure.FirstToken]: counters.first_token.read(now),
        [BurnMeasure.BetweenTokens]: counters.between_tokens.read(now),
      };
      return { service, account, measures };
    });
    const objectives = this.#objectives;
    return { daemon, zone, since: this.#since, objectives, parts };
  }

  #record(request: ICallerRequest, result: IRequestResult): void {
    if (result.reason !== null && EXCLUDED_REASONS.has(result.reason)) {
      return;
    }
    const counters = this.#countersOf(request);
    const now = this.#clock.calendar();
    const isGood =
      result.outcome === Outcome.Completed &&
      result.finishedAt <= request.deadline;
    const duration = result.finishedAt - request.arrivedAt;
    counters.whole_on_time.record(now, duration, { total: 1, isBad: !isGood });
    if (result.firstToken !== null) {
      const isBad = this.#isLate(BurnMeasure.FirstToken, result.firstToken);
      counters.first_token.record(now, result.firstToken, { total: 1, isBad });
    }
    for (const { gap, tokens } of result.gaps) {
      const isBad = this.#isLate(BurnMeasure.BetweenTokens, gap);
      counters.between_tokens.record(now, gap, { total: tokens, isBad });
    }
  }

  #isLate(measure: BurnMeasure, milliseconds: number): boolean {
    return milliseconds > (this.#objectives[measure].within ?? Infinity);
  }

  #countersOf(request: ICallerRequest): Counters {
    const { service, account } = request;
    const key = JSON.stringify([service.name, account.customer.account]);
    let counters = this.#counters.get(key);
    if (counters === undefined) {
      counters = {
        [BurnMeasure.WholeOnTime]: new BurnCounter(),
        [BurnMeasure.FirstToken]: new BurnCounter(),
        [BurnMeasure.BetweenTokens]: new BurnCounter(),
      };
      this.#counters.set(key, counters);
    }
    return counters;
  }
}
