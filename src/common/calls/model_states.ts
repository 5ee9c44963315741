/** What is kept of each model of each service while its calls come. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { fullBatchGap, prefillMs, runTime } from "./engine_timing.ts";
import { FirstEventTimeEstimator } from "./first_event_time_estimator.ts";
import { ModelQueue } from "./model_queue.ts";
import { DemandEstimator } from "./demand_estimator.ts";
import type { ICall, IEngineProfile, IModel, IServiceEntry } from "./types.ts";

/** Share of the predicted run time below which no run can be in time. */
const SHORTEST_RUN_SHARE = 0.6;

/** Output tokens are announced as a maximum; the usual answer is shorter. */
const USUAL_OUTPUT_SHARE = 0.5;

/** Joins a service's name and a model's to a key. */
const KEY_SEPARATOR = "\n";

/** One model of one service. */
export interface IModelState {
  readonly service: ServiceName;
  readonly model: string;
  readonly queue: ModelQueue;
  readonly demand: DemandEstimator;
  readonly firstEventTime: FirstEventTimeEstimator;
  /** Milliseconds within which its newest call is on time. */
  objective: number;
}

/** A model and the engines that run it. */
export interface IModelProfile {
  readonly engine: IEngineProfile;
  readonly model: IModel;
}

/** All models that calls have come for, by {@link modelKey}. */
export class ModelStates {
  readonly #service: (name: string) => IServiceEntry | null;
  readonly #lanes = new Map<string, IModelState>();

  constructor(service: (name: string) => IServiceEntry | null) {
    this.#service = service;
  }

  get all(): readonly IModelState[] {
    return [...this.#lanes.values()];
  }

  /** The lane of a call's model; made when its first call comes. */
  getOrCreate(call: ICall): IModelState {
    const key = modelKey(call);
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      const firstEvents = new FirstEventTimeEstimator();
      const queue = new ModelQueue(
        (one) => firstEvents.estimate + this.prefillTime(one),
      );
      const { service } = call;
      const model = call.model ?? "";
      lane = {
        service,
        model,
        queue,
        firstEventTime: firstEvents,
        demand: new DemandEstimator(),
        objective: call.route.objective,
      };
      this.#lanes.set(key, lane);
    }
    return lane;
  }

  /** Counts the work of a call that has arrived. */
  recordArrival(call: ICall, now: MonotonicTime): void {
    const found = this.engineOf(call);
    this.getOrCreate(call).objective = call.route.objective;
    if (found !== null) {
      const arrival = { tokens: call.tokens, now };
      this.getOrCreate(call).demand.recordCall(
        arrival,
        found.engine,
        found.model,
      );
    }
  }

  /** Null where the configuration does not name the model. */
  engineOf(call: ICall): IModelProfile | null {
    const engine = this.#service(call.service)?.engine ?? null;
    const model = engine?.models.find(({ name }) => name === call.model);
    return engine && model ? { engine, model } : null;
  }

  /** Milliseconds that a group takes to read a call's prompt. */
  prefillTime(call: ICall): number {
    const found = this.engineOf(call);
    return found === null
      ? 0
      : prefillMs(found.engine, call.tokens.prompt) * found.model.pace;
  }

  /** Milliseconds that a call needs at least, from its start to its end. */
  shortestRun(call: ICall): number {
    const found = this.engineOf(call);
    if (found === null) {
      return 0;
    }
    const { engine, model } = found;
    const { prompt, output } = call.tokens;
    const tokens = { prompt, output: output * USUAL_OUTPUT_SHARE };
    const whole = runTime(engine, model, { tokens, running: 1 });
    return whole * SHORTEST_RUN_SHARE + fullBatchGap(engine, model);
  }
}

/** Names a call's service and model. */
export function modelKey(call: ICall): string {
  return `${call.service}${KEY_SEPARATOR}${call.model ?? ""}`;
}
