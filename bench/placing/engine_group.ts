/**
 * A replica group by the published step model: passes of `stride` token steps,
 * in which up to one chunk of prompts is read a step.
 */
import { prefillMs, stepTime } from "../../src/common/calls/engine_timing.ts";
import type { IEngineProfile, IModel } from "../../src/common/calls/types.ts";
import type { EventQueue } from "../decisions/event_queue.ts";

/** A request in the group. */
export interface IPlacedRequest {
  readonly prompt: number;
  readonly output: number;
  readonly sentAt: number;
  firstEventAt: number | null;
  read: number;
  written: number;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
}

/** Passes one after the other while there is work. */
export class EngineGroup {
  readonly name: string;
  readonly #engine: IEngineProfile;
  readonly #model: IModel;
  readonly #queue: EventQueue;
  /** Milliseconds before the first event that no work of others explains. */
  readonly #entryTime: number;
  readonly #waiting: IPlacedRequest[] = [];
  #running: IPlacedRequest[] = [];
  #isBusy = false;

  constructor(
    name: string,
    kind: {
      readonly engine: IEngineProfile;
      readonly model: IModel;
      readonly entryTime: number;
    },
    queue: EventQueue,
  ) {
    this.name = name;
    this.#engine = kind.engine;
    this.#model = kind.model;
    this.#entryTime = kind.entryTime;
    this.#queue = queue;
  }

  get inFlight(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Milliseconds of reading that lie before a new prompt. */
  get backlog(): number {
    const all = [...this.#running, ...this.#waiting];
    return all.reduce((sum, one) => sum + this.#reading(one), 0);
  }

  take(request: IPlacedRequest): void {
    this.#queue.after(this.#entryTime, () => {
      this.#waiting.push(request);
      this.#start();
    });
  }

  #reading({ prompt, read }: IPlacedRequest): number {
    return prefillMs(this.#engine, prompt - read) * this.#model.pace;
  }

  #start(): void {
    if (!this.#isBusy) {
      this.#isBusy = true;
      this.#pass();
    }
  }

  #pass(): void {
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
    const writers = this.#running.filter(({ prompt, read }) => read >= prompt);
    const steps = writers.length > 0 ? this.#engine.stride : 1;
    const time = this.#writeTime(writers, steps) + this.#read(steps);
    this.#queue.after(time, () => this.#passEnded(writers));
  }

  #writeTime(writers: readonly IPlacedRequest[], steps: number): number {
    if (writers.length === 0) {
      return 0;
    }
    const context = writers.reduce(
      (sum, { prompt, written }) => sum + prompt + written,
      0,
    );
    const step = stepTime(this.#engine, writers.length, context);
    return step * steps * this.#model.pace;
  }

  /** Reads prompts in order; returns the milliseconds it takes. */
  #read(steps: number): number {
    let left = this.#engine.chunk * steps;
    let time = 0;
    for (const one of this.#running) {
      const tokens = Math.min(left, one.prompt - one.read);
      if (tokens > 0) {
        one.read += tokens;
        left -= tokens;
        time += prefillMs(this.#engine, tokens) * this.#model.pace;
      }
    }
    return time;
  }

  #passEnded(writers: readonly IPlacedRequest[]): void {
    for (const one of writers) {
      one.written += this.#engine.stride;
      if (one.firstEventAt === null) {
        one.firstEventAt = this.#queue.now;
        one.onFirstEvent();
      }
      if (one.written >= one.output) {
        this.#running = this.#running.filter((other) => other !== one);
        one.onEnd();
      }
    }
    this.#pass();
  }
}
