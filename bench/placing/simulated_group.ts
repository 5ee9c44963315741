/**
 * A replica group that follows the published step model: passes of `stride`
 * token steps, each of which prefills up to one chunk of prompts.
 */
import { prefillMs, stepTime } from "../../src/common/calls/engine_timing.ts";
import type { IEngineProfile, IModel } from "../../src/common/calls/types.ts";
import type { EventQueue } from "../decisions/event_queue.ts";

/** A request in the group, with its progress in tokens. */
export interface IPlacedRequest {
  readonly prompt: number;
  readonly output: number;
  readonly sentAt: number;
  firstEventAt: number | null;
  read: number;
  generatedTokens: number;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
}

/** Runs passes one after the other while it has requests. */
export class SimulatedGroup {
  readonly name: string;
  readonly #engine: IEngineProfile;
  readonly #model: IModel;
  readonly #queue: EventQueue;
  /** Milliseconds before the first event that no other request causes. */
  readonly #firstEventOverhead: number;
  readonly #waiting: IPlacedRequest[] = [];
  #running: IPlacedRequest[] = [];
  #isBusy = false;

  constructor(
    name: string,
    kind: {
      readonly engine: IEngineProfile;
      readonly model: IModel;
      readonly firstEventOverhead: number;
    },
    queue: EventQueue,
  ) {
    this.name = name;
    this.#engine = kind.engine;
    this.#model = kind.model;
    this.#firstEventOverhead = kind.firstEventOverhead;
    this.#queue = queue;
  }

  get inFlight(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Milliseconds of prefill ahead of a new prompt. */
  get prefillBacklog(): number {
    const all = [...this.#running, ...this.#waiting];
    return all.reduce(
      (sum, request) => sum + this.#remainingPrefillTime(request),
      0,
    );
  }

  submit(request: IPlacedRequest): void {
    this.#queue.scheduleAfter(this.#firstEventOverhead, () => {
      this.#waiting.push(request);
      this.#start();
    });
  }

  #remainingPrefillTime({ prompt, read }: IPlacedRequest): number {
    return prefillMs(this.#engine, prompt - read) * this.#model.pace;
  }

  #start(): void {
    if (!this.#isBusy) {
      this.#isBusy = true;
      this.#runPass();
    }
  }

  #runPass(): void {
    while (this.#running.length < this.#engine.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        break;
      }
      this.#running.push(next);
    }
    if (this.#running.length === 0) {
      this.#isBusy = false;
      return;
    }
    const decoding = this.#running.filter(({ prompt, read }) => read >= prompt);
    const steps = decoding.length > 0 ? this.#engine.stride : 1;
    const time = this.#decodeTime(decoding, steps) + this.#prefill(steps);
    this.#queue.scheduleAfter(time, () => this.#endPass(decoding));
  }

  #decodeTime(decoding: readonly IPlacedRequest[], steps: number): number {
    if (decoding.length === 0) {
      return 0;
    }
    const context = decoding.reduce(
      (sum, { prompt, generatedTokens }) => sum + prompt + generatedTokens,
      0,
    );
    const step = stepTime(this.#engine, decoding.length, context);
    return step * steps * this.#model.pace;
  }

  /** Prefills prompts in order; returns the milliseconds it takes. */
  #prefill(steps: number): number {
    let left = this.#engine.chunk * steps;
    let time = 0;
    for (const request of this.#running) {
      const tokens = Math.min(left, request.prompt - request.read);
      if (tokens > 0) {
        request.read += tokens;
        left -= tokens;
        time += prefillMs(this.#engine, tokens) * this.#model.pace;
      }
    }
    return time;
  }

  #endPass(decoding: readonly IPlacedRequest[]): void {
    for (const request of decoding) {
      request.generatedTokens += this.#engine.stride;
      if (request.firstEventAt === null) {
        request.firstEventAt = this.#queue.now;
        request.onFirstEvent();
      }
      if (request.generatedTokens >= request.output) {
        this.#running = this.#running.filter((other) => other !== request);
        request.onEnd();
      }
    }
    this.#runPass();
  }
}
