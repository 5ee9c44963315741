/** Counts what callers got, by service and client account. */
import { Outcome, Reason } from "../types.ts";
import type { IClock } from "../services/services.ts";
import type { ICallerRequest } from "../services/types.ts";
import { BurnCounter } from "./burn_counter.ts";
import { BurnMeasure } from "./burn_types.ts";
import type { IDaemonBurn, Objectives } from "./burn_types.ts";
import { RequestObserver } from "./request_observer.ts";
import type { IRequestResult } from "./request_observer.ts";

/**
 * Refusals that are the caller's own doing or its plan's limit: the promise is
 * made for what a plan allows, so they count neither as good nor as bad.
 */
const NOT_COUNTED: ReadonlySet<Reason> = new Set([
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

/** One daemon's counts; they do not outlast it. */
export class BurnRecorder {
  readonly #clock: IClock;
  readonly #objectives: Objectives;
  readonly #since: number;
  readonly #parts = new Map<string, Counters>();

  constructor(clock: IClock, objectives: Objectives) {
    this.#clock = clock;
    this.#objectives = objectives;
    this.#since = clock.calendar();
  }

  /** Follows one request from its arrival to its final answer. */
  observeRequest(request: ICallerRequest): RequestObserver {
    return new RequestObserver(request, this.#clock, (served) =>
      this.#record(request, served),
    );
  }

  /** Everything counted so far. */
  read(daemon: string, zone: string): IDaemonBurn {
    const now = this.#clock.calendar();
    const parts = [...this.#parts].map(([key, counters]) => {
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

  #record(request: ICallerRequest, served: IRequestResult): void {
    if (served.reason !== null && NOT_COUNTED.has(served.reason)) {
      return;
    }
    const counters = this.#countersOf(request);
    const now = this.#clock.calendar();
    const isGood =
      served.outcome === Outcome.Completed &&
      served.finishedAt <= request.deadline;
    const duration = served.finishedAt - request.arrivedAt;
    counters.whole_on_time.record(now, duration, { total: 1, isBad: !isGood });
    if (served.firstToken !== null) {
      const isBad = this.#isLate(BurnMeasure.FirstToken, served.firstToken);
      counters.first_token.record(now, served.firstToken, { total: 1, isBad });
    }
    for (const { gap, tokens } of served.gaps) {
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
    let counters = this.#parts.get(key);
    if (counters === undefined) {
      counters = {
        [BurnMeasure.WholeOnTime]: new BurnCounter(),
        [BurnMeasure.FirstToken]: new BurnCounter(),
        [BurnMeasure.BetweenTokens]: new BurnCounter(),
      };
      this.#parts.set(key, counters);
    }
    return counters;
  }
}
