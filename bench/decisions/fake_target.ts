/**
 * A target with continuous batching, as a model: each step gives one token to
 * every request that is past its prompt, and reads a bounded part of others. The
 * numbers are of no particular machine; they are chosen so that the users' 58
 * ms between tokens are reached at about 32 requests.
 */
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import type { EventQueue } from "./event_queue.ts";

/** One step with nothing to do but start, milliseconds. */
const STEP = 25;
/** Added for each request that gets a token, milliseconds. */
const STEP_PER_REQUEST = 1;
/** Added for each prompt token read, milliseconds. */
const STEP_PER_PROMPT_TOKEN = 0.05;
/** Prompt tokens read in one step, of one prompt or several. */
const PROMPT_BUDGET = 512;
/** Requests that fit in memory; the others wait inside the target. */
const LARGEST_BATCH = 64;
/** Prompts whose beginning is kept. */
const CACHED_PREFIXES = 16;
/** Share of a prompt that its prefix covers. */
const PREFIX_SHARE = 0.8;

/** What a request tells whoever sent it. */
export interface ITargetEvents {
  token(isLast: boolean): void;
  failed(): void;
}

interface IRunning {
  readonly work: IWorkItem;
  readonly tokens: number;
  readonly events: ITargetEvents;
  promptLeft: number;
  made: number;
  isCancelled: boolean;
}

/** How a target behaves; may change while it runs. */
export enum Behaviour {
  Serves = "serves",
  /** Accepts and never answers. */
  Silent = "silent",
  /** Refuses connections and has lost what it ran. */
  Away = "away",
}

/** One target of the model. */
export class FakeTarget {
  readonly id: string;
  readonly #events: EventQueue;
  #slowness = 1;
  #behaviour = Behaviour.Serves;
  #running: IRunning[] = [];
  #queued: IRunning[] = [];
  #isStepping = false;
  readonly #prefixes = new Set<string>();
  /** Tokens generated, also those nobody received. */
  made = 0;

  constructor(id: string, events: EventQueue) {
    this.id = id;
    this.#events = events;
  }

  /** Requests running and queued. */
  get load(): number {
    return this.#running.length + this.#queued.length;
  }

  get behaviour(): Behaviour {
    return this.#behaviour;
  }

  /** Steps take this many times as long. */
  slowDown(slowness: number): void {
    this.#slowness = slowness;
  }

  behave(behaviour: Behaviour): void {
    this.#behaviour = behaviour;
    if (behaviour === Behaviour.Away) {
      const lost = [...this.#running, ...this.#queued];
      this.#running = [];
      this.#queued = [];
      for (const request of lost) {
        request.isCancelled = true;
        request.events.failed();
      }
    }
    this.#step();
  }

  /** Accepts a request; the result cancels it. */
  accept(work: IWorkItem, tokens: number, events: ITargetEvents): () => void {
    if (this.#behaviour === Behaviour.Away) {
      this.#events.after(1, () => events.failed());
      return () => {};
    }
    const request: IRunning = {
      work,
      tokens,
      events,
      promptLeft: this.#promptOf(work),
      made: 0,
      isCancelled: false,
    };
    this.#queued.push(request);
    this.#step();
    return () => {
      request.isCancelled = true;
      this.#drop();
    };
  }

  #promptOf(work: IWorkItem): number {
    if (work.prefix === "") {
      return work.promptTokens;
    }
    const isCached = this.#prefixes.delete(work.prefix);
    this.#prefixes.add(work.prefix);
    if (this.#prefixes.size > CACHED_PREFIXES) {
      const [oldest] = this.#prefixes;
      this.#prefixes.delete(oldest ?? "");
    }
    return isCached
      ? work.promptTokens * (1 - PREFIX_SHARE)
      : work.promptTokens;
  }

  #drop(): void {
    this.#running = this.#running.filter((request) => !request.isCancelled);
    this.#queued = this.#queued.filter((request) => !request.isCancelled);
  }

  #step(): void {
    if (this.#isStepping || this.#behaviour !== Behaviour.Serves) {
      return;
    }
    while (this.#running.length < LARGEST_BATCH && this.#queued.length > 0) {
      this.#running.push(this.#queued.shift() as IRunning);
    }
    if (this.#running.length === 0) {
      return;
    }
    this.#isStepping = true;
    const writing = this.#running.filter(({ promptLeft }) => promptLeft <= 0);
    const read = this.#readPrompts();
    const finished = this.#running.filter(({ promptLeft }) => promptLeft <= 0);
    const time =
      STEP + STEP_PER_REQUEST * writing.length + STEP_PER_PROMPT_TOKEN * read;
    this.#events.after(time * this.#slowness, () => {
      this.#isStepping = false;
      this.#giveTokens(finished);
      this.#step();
    });
  }

  /** Reads prompts in order of arrival; returns the tokens read. */
  #readPrompts(): number {
    let budget = PROMPT_BUDGET;
    for (const request of this.#running) {
      const part = Math.min(budget, request.promptLeft);
      request.promptLeft -= part;
      budget -= part;
    }
    return PROMPT_BUDGET - budget;
  }

  #giveTokens(requests: readonly IRunning[]): void {
    for (const request of requests) {
      if (request.isCancelled) {
        continue;
      }
      request.made += 1;
      this.made += 1;
      const isLast = request.made >= request.tokens;
      request.isCancelled = isLast;
      request.events.token(isLast);
    }
    this.#drop();
  }
}
