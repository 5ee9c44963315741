/** The state kept for each model of each service that receives calls. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { fullBatchGap, prefillMs, runTime, stepTime } from "./engine_timing.ts";
import { FirstEventTimeEstimator } from "./first_event_time_estimator.ts";
import { HighEndEstimator } from "./high_end_estimator.ts";
import { ModelQueue } from "./model_queue.ts";
import { DemandEstimator } from "./demand_estimator.ts";
import type { ICall, IEngineProfile, IModel, IServiceEntry } from "./types.ts";

/** Share of the predicted run time that every run takes at least. */
const SHORTEST_RUN_SHARE = 0.6;

/** Output is announced as a maximum; the usual response has this share. */
const USUAL_OUTPUT_SHARE = 0.5;

/** Events from which the time of a response tells the pace of decoding. */
const FEWEST_MEASURED_EVENTS = 5;

/** Separates the service from the model in a key. */
const KEY_SEPARATOR = "\n";

/** State of one model of one service. */
export interface IModelState {
  readonly service: ServiceName;
  readonly model: string;
  readonly queue: ModelQueue;
  readonly demand: DemandEstimator;
  readonly firstEventTime: FirstEventTimeEstimator;
  /** Milliseconds from a send to the first event, without prefill. */
  readonly startDelay: HighEndEstimator;
  /** Factor on the time from the first event to the last in a full group. */
  readonly decodingFactor: HighEndEstimator;
  /** Objective of the newest call, milliseconds. */
  objective: number;
}

/** A model and the profile of the engines that run it. */
export interface IModelProfile {
  readonly engine: IEngineProfile;
  readonly model: IModel;
}

/** The models that have received calls, by {@link modelKey}. */
export class ModelStates {
  readonly #service: (name: string) => IServiceEntry | null;
  readonly #states = new Map<string, IModelState>();

  constructor(service: (name: string) => IServiceEntry | null) {
    this.#service = service;
  }

  get all(): readonly IModelState[] {
    return [...this.#states.values()];
  }

  /** The state of a call's model, created with its first call. */
  getOrCreate(call: ICall): IModelState {
    const key = modelKey(call);
    let state = this.#states.get(key);
    if (state === undefined) {
      const firstEventTime = new FirstEventTimeEstimator();
      const queue = new ModelQueue(
        (one) => firstEventTime.estimate + this.prefillTime(one),
      );
      const { service } = call;
      const model = call.model ?? "";
      state = {
        service,
        model,
        queue,
        firstEventTime,
        startDelay: new HighEndEstimator(),
        decodingFactor: new HighEndEstimator(),
        demand: new DemandEstimator(),
        objective: call.route.objective,
      };
      this.#states.set(key, state);
    }
    return state;
  }

  /** Adds an arriving call to the demand for its model. */
  recordArrival(call: ICall, now: MonotonicTime): void {
    const found = this.engineOf(call);
    this.getOrCreate(call).objective = call.route.objective;
    if (found !== null) {
      // Callers may announce more output than any group could generate.
      const { prompt, output } = call.tokens;
      const longest = found.engine.memoryTokens;
      const tokens = { prompt, output: Math.min(output, longest) };
      const arrival = { tokens, now };
      this.getOrCreate(call).demand.recordCall(
        arrival,
        found.engine,
        found.model,
      );
    }
  }

  /** Null if the configuration does not contain the model. */
  engineOf(call: ICall): IModelProfile | null {
    const engine = this.#service(call.service)?.engine ?? null;
    const model = engine?.models.find(({ name }) => name === call.model);
    return engine && model ? { engine, model } : null;
  }

  /** Prefill time of a call's prompt, milliseconds. */
  prefillTime(call: ICall): number {
    const found = this.engineOf(call);
    return found === null
      ? 0
      : prefillMs(found.engine, call.tokens.prompt) * found.model.pace;
  }

  /** Shortest time from a call's start to its end, milliseconds. */
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

  /**
   * Time from a call's start to its end if it generates all the output that it
   * may, by the published figures and the times seen, milliseconds. Without a
   * bound on its output it may run until its deadline.
   */
  longestRun(call: ICall): number {
    const { output } = call.tokens;
    if (output === 0) {
      return Number.POSITIVE_INFINITY;
    }
    const { startDelay, decodingFactor } = this.getOrCreate(call);
    const delay = startDelay.estimate ?? call.route.objective;
    const factor = Math.max(1, decodingFactor.estimate ?? 1);
    const decoding = this.#decodingTime(call, output);
    return delay + this.prefillTime(call) + decoding * factor;
  }

  /**
   * Records how long a complete response took.
   *
   * @param events - its events, of which the first came at the start
   * @param time - milliseconds from the first event to the last
   */
  recordDecoding(
    call: ICall,
    { events, time }: { readonly events: number; readonly time: number },
  ): void {
    const stride = this.engineOf(call)?.engine.stride ?? 0;
    const expected = this.#decodingTime(call, (events - 1) * stride);
    if (events >= FEWEST_MEASURED_EVENTS && expected > 0) {
      this.getOrCreate(call).decodingFactor.addSample(time / expected);
    }
  }

  /** Milliseconds in a full group, without the prefill of other prompts. */
  #decodingTime(call: ICall, tokens: number): number {
    const found = this.engineOf(call);
    if (found === null) {
      return 0;
    }
    const { engine, model } = found;
    const context = call.tokens.prompt * engine.slots;
    return stepTime(engine, engine.slots, context) * tokens * model.pace;
  }
}

/** Identifies the service and the model of a call. */
export function modelKey(call: ICall): string {
  return `${call.service}${KEY_SEPARATOR}${call.model ?? ""}`;
}
