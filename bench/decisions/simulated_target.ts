/**
 * A model of a target with continuous batching. Each step generates one token
 * for every request whose prompt is prefilled, and prefills a bounded number of
 * tokens of the others. The numbers describe no particular machine; with them,
 * the users' 58 ms between tokens are reached at about 32 requests.
 */
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import type { EventQueue } from "./event_queue.ts";

/** Fixed duration of a step, milliseconds. */
const STEP = 25;
/** Added for each request that generates a token, milliseconds. */
const STEP_PER_REQUEST = 1;
/** Added for each prefilled token, milliseconds. */
const STEP_PER_PROMPT_TOKEN = 0.05;
/** Tokens prefilled in one step, of one prompt or several. */
const PROMPT_BUDGET = 512;
/** Requests that fit in memory; the target queues the others. */
const MAXIMUM_BATCH = 64;
/** Prefixes in the cache; the least recently used is evicted. */
const CACHED_PREFIXES = 16;
/** Share of a prompt that belongs to its prefix. */
const PREFIX_SHARE = 0.8;

/** Receives the progress of one request. */
export interface IResponseListener {
  onToken(isLast: boolean): void;
  onFailure(): void;
}

interface IAcceptedRequest {
  readonly work: IWorkItem;
  readonly tokens: number;
  readonly listener: IResponseListener;
  remainingPrompt: number;
  generatedTokens: number;
  isCancelled: boolean;
}

/** How a target behaves, which may change during a run. */
export enum Behaviour {
  Serving = "serves",
  /** Accepts requests and never answers. */
  Silent = "silent",
  /** Refuses connections and has lost its requests. */
  Unreachable = "away",
}

/** One simulated target. */
export class SimulatedTarget {
  readonly id: string;
  readonly #events: EventQueue;
  #slowness = 1;
  #behaviour = Behaviour.Serving;
  #running: IAcceptedRequest[] = [];
  #queued: IAcceptedRequest[] = [];
  #isStepping = false;
  readonly #cachedPrefixes = new Set<string>();
  /** All generated tokens, including those that nobody received. */
  generatedTokens = 0;

  constructor(id: string, events: EventQueue) {
    this.id = id;
    this.#events = events;
  }

  /** Number of running and queued requests. */
  get load(): number {
    return this.#running.length + this.#queued.length;
  }

  get behaviour(): Behaviour {
    return this.#behaviour;
  }

  /** Multiplies the duration of each step by a factor. */
  setSlowness(slowness: number): void {
    this.#slowness = slowness;
  }

  setBehaviour(behaviour: Behaviour): void {
    this.#behaviour = behaviour;
    if (behaviour === Behaviour.Unreachable) {
      const lost = [...this.#running, ...this.#queued];
      this.#running = [];
      this.#queued = [];
      for (const request of lost) {
        request.isCancelled = true;
        request.listener.onFailure();
      }
    }
    this.#step();
  }

  /** Accepts a request and returns a function that cancels it. */
  accept(
    work: IWorkItem,
    tokens: number,
    listener: IResponseListener,
  ): () => void {
    if (this.#behaviour === Behaviour.Unreachable) {
      this.#events.scheduleAfter(1, () => listener.onFailure());
      return () => {};
    }
    const request: IAcceptedRequest = {
      work,
      tokens,
      listener,
      remainingPrompt: this.#promptTokensToRead(work),
      generatedTokens: 0,
      isCancelled: false,
    };
    this.#queued.push(request);
    this.#step();
    return () => {
      request.isCancelled = true;
      this.#removeCancelled();
    };
  }

  #promptTokensToRead(work: IWorkItem): number {
    if (work.prefix === "") {
      return work.promptTokens;
    }
    const isCached = this.#cachedPrefixes.delete(work.prefix);
    this.#cachedPrefixes.add(work.prefix);
    if (this.#cachedPrefixes.size > CACHED_PREFIXES) {
      const [oldest] = this.#cachedPrefixes;
      this.#cachedPrefixes.delete(oldest ?? "");
    }
    return isCached
      ? work.promptTokens * (1 - PREFIX_SHARE)
      : work.promptTokens;
  }

  #removeCancelled(): void {
    this.#running = this.#running.filter((request) => !request.isCancelled);
    this.#queued = this.#queued.filter((request) => !request.isCancelled);
  }

  #step(): void {
    if (this.#isStepping || this.#behaviour !== Behaviour.Serving) {
      return;
    }
    while (this.#running.length < MAXIMUM_BATCH && this.#queued.length > 0) {
      this.#running.push(this.#queued.shift() as IAcceptedRequest);
    }
    if (this.#running.length === 0) {
      return;
    }
    this.#isStepping = true;
    const decoding = this.#running.filter(
      ({ remainingPrompt }) => remainingPrompt <= 0,
    );
    const prefilled = this.#prefill();
    const producing = this.#running.filter(
      ({ remainingPrompt }) => remainingPrompt <= 0,
    );
    const time =
      STEP +
      STEP_PER_REQUEST * decoding.length +
      STEP_PER_PROMPT_TOKEN * prefilled;
    this.#events.scheduleAfter(time * this.#slowness, () => {
      this.#isStepping = false;
      this.#emitTokens(producing);
      this.#step();
    });
  }

  /** Prefills prompts in order of arrival; returns the number of tokens. */
  #prefill(): number {
    let budget = PROMPT_BUDGET;
    for (const request of this.#running) {
      const part = Math.min(budget, request.remainingPrompt);
      request.remainingPrompt -= part;
      budget -= part;
    }
    return PROMPT_BUDGET - budget;
  }

  #emitTokens(requests: readonly IAcceptedRequest[]): void {
    for (const request of requests) {
      if (request.isCancelled) {
        continue;
      }
      request.generatedTokens += 1;
      this.generatedTokens += 1;
      const isLast = request.generatedTokens >= request.tokens;
      request.isCancelled = isLast;
      request.listener.onToken(isLast);
    }
    this.#removeCancelled();
  }
}
