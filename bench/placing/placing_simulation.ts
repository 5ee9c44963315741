/** Simulates processes that place requests by incomplete group counts. */
import type { IGroupLoad } from "../../src/common/calls/group_choice.ts";
import { prefillMs } from "../../src/common/calls/engine_timing.ts";
import type { IEngineProfile, IModel } from "../../src/common/calls/types.ts";
import { SeededRandom } from "../../test/support/seeded_random.ts";
import { EventQueue } from "../decisions/event_queue.ts";
import { SimulatedGroup } from "./simulated_group.ts";

/** What a process knows about a group when it places a request. */
export interface IKnownGroup extends IGroupLoad {
  /** Actual values over all processes, for the oracle only. */
  readonly trueInFlight: number;
  readonly truePrefillTime: number;
}

/** What a process knows apart from the groups. */
export interface IPlacingOptions {
  readonly processes: number;
  /** Milliseconds of queued prefill behind which a call can be on time. */
  readonly prefillBudget: number;
  readonly chance: () => number;
}

/** Chooses a group, or null when all seem full. */
export type PlacingPolicy = (
  groups: readonly IKnownGroup[],
  options: IPlacingOptions,
) => string | null;

/** The load and the groups of a simulation. */
export interface IPlacingCase {
  readonly name: string;
  readonly engine: IEngineProfile;
  readonly model: IModel;
  readonly groups: number;
  readonly processes: number;
  readonly requestsPerSecond: number;
  readonly prompt: number;
  readonly output: number;
  /** Milliseconds within which the first event is on time. */
  readonly objective: number;
  /** Milliseconds after which a new, empty group replaces the oldest. */
  readonly replacementInterval: number;
}

/** Milliseconds between exchanges, the largest age of the others' counts. */
const EXCHANGE_INTERVAL = 230;

/** Milliseconds that engines take before a first event, beside the work. */
const FIRST_EVENT_OVERHEAD = 110;

/** Simulated milliseconds. */
const DURATION = 60_000;

/** Sigma of the log-normal sizes: a long tail, as in the users' tables. */
const SIZE_SPREAD = 0.8;

interface IRequest {
  readonly index: number;
  readonly arrivedAt: number;
  readonly prompt: number;
  readonly output: number;
}

interface IProcessView {
  ownInFlight: Map<string, number>;
  ownPrefillTime: Map<string, number>;
  othersInFlight: Map<string, number>;
}

/** Returns the share of the requests whose first event is late. */
export function simulatePlacing(
  scenario: IPlacingCase,
  policy: PlacingPolicy,
  seed: number,
): number {
  const simulation = new PlacingSimulation(scenario, policy, seed);
  return simulation.run();
}

class PlacingSimulation {
  readonly #scenario: IPlacingCase;
  readonly #policy: PlacingPolicy;
  readonly #random: SeededRandom;
  readonly #queue = new EventQueue();
  readonly #views: IProcessView[] = [];
  #groups: SimulatedGroup[] = [];
  /** Queued requests of each process. */
  readonly #waiting: IRequest[][] = [];
  #createdGroups = 0;
  #lateRequests = 0;
  #requests = 0;

  constructor(scenario: IPlacingCase, policy: PlacingPolicy, seed: number) {
    this.#scenario = scenario;
    this.#policy = policy;
    this.#random = new SeededRandom(seed);
  }

  run(): number {
    const { groups, processes, replacementInterval } = this.#scenario;
    for (let index = 0; index < groups; index += 1) {
      this.#groups.push(this.#createGroup());
    }
    for (let index = 0; index < processes; index += 1) {
      this.#views.push(emptyView());
      this.#waiting.push([]);
      this.#exchangeCounts(index, (EXCHANGE_INTERVAL * index) / processes);
    }
    this.#replaceOldestGroup(replacementInterval);
    this.#scheduleArrival();
    this.#queue.runUntil(DURATION);
    return this.#lateRequests / Math.max(1, this.#requests);
  }

  #createGroup(): SimulatedGroup {
    const { engine, model } = this.#scenario;
    this.#createdGroups += 1;
    const kind = { engine, model, firstEventOverhead: FIRST_EVENT_OVERHEAD };
    return new SimulatedGroup(
      `group-${this.#createdGroups}`,
      kind,
      this.#queue,
    );
  }

  /** Replaces the oldest group; its running requests continue. */
  #replaceOldestGroup(after: number): void {
    this.#queue.scheduleAfter(after, () => {
      this.#groups = [...this.#groups.slice(1), this.#createGroup()];
      this.#replaceOldestGroup(after);
    });
  }

  #exchangeCounts(index: number, after: number): void {
    this.#queue.scheduleAfter(after, () => {
      const others = new Map<string, number>();
      this.#views.forEach((view, other) => {
        if (other !== index) {
          view.ownInFlight.forEach((count, group) => add(others, group, count));
        }
      });
      const view = this.#views[index];
      if (view !== undefined) {
        view.othersInFlight = others;
        this.#placeWaiting(index);
      }
      this.#exchangeCounts(index, EXCHANGE_INTERVAL);
    });
  }

  #scheduleArrival(): void {
    const gap = 1_000 / this.#scenario.requestsPerSecond;
    const wait = -Math.log(1 - this.#random.next()) * gap;
    this.#queue.scheduleAfter(wait, () => {
      this.#addRequest();
      this.#scheduleArrival();
    });
  }

  #addRequest(): void {
    const index = Math.floor(this.#random.next() * this.#scenario.processes);
    const arrivedAt = this.#queue.now;
    const prompt = this.#sampleSize(this.#scenario.prompt);
    const output = this.#sampleSize(this.#scenario.output);
    this.#requests += 1;
    this.#waiting[index]?.push({ index, arrivedAt, prompt, output });
    this.#placeWaiting(index);
  }

  #place(request: IRequest): boolean {
    const { index, arrivedAt, prompt, output } = request;
    const view = this.#views[index];
    const knownGroups = this.#groups.map((group) =>
      this.#knownGroup(group, view),
    );
    const name = this.#policy(knownGroups, {
      processes: this.#scenario.processes,
      prefillBudget: this.#scenario.objective - FIRST_EVENT_OVERHEAD,
      chance: () => this.#random.next(),
    });
    const group = this.#groups.find((one) => one.name === name);
    if (view === undefined || group === undefined) {
      return false;
    }
    const prefillTime = this.#prefillTime(prompt);
    add(view.ownInFlight, group.name, 1);
    add(view.ownPrefillTime, group.name, prefillTime);
    group.submit({
      prompt,
      output,
      sentAt: this.#queue.now,
      firstEventAt: null,
      read: 0,
      generatedTokens: 0,
      onFirstEvent: () => {
        add(view.ownPrefillTime, group.name, -prefillTime);
        const isLate = this.#queue.now - arrivedAt > this.#scenario.objective;
        this.#lateRequests += isLate ? 1 : 0;
        this.#placeWaiting(index);
      },
      onEnd: () => {
        add(view.ownInFlight, group.name, -1);
        this.#placeWaiting(index);
      },
    });
    return true;
  }

  /** Places queued requests, first those that can still be on time. */
  #placeWaiting(index: number): void {
    const waiting = this.#waiting[index] ?? [];
    const canBeOnTime = ({ arrivedAt }: IRequest) =>
      this.#queue.now - arrivedAt + FIRST_EVENT_OVERHEAD <
      this.#scenario.objective;
    while (waiting.length > 0) {
      const next = waiting.find(canBeOnTime) ?? waiting[0];
      if (next === undefined || !this.#place(next)) {
        return;
      }
      waiting.splice(waiting.indexOf(next), 1);
    }
  }

  #knownGroup(
    group: SimulatedGroup,
    view: IProcessView | undefined,
  ): IKnownGroup {
    const { name } = group;
    return {
      group: name,
      zone: "one",
      pace: 1,
      slots: this.#scenario.engine.slots,
      ownInFlight: view?.ownInFlight.get(name) ?? 0,
      othersInFlight: view?.othersInFlight.get(name) ?? 0,
      ownPrefillTime: view?.ownPrefillTime.get(name) ?? 0,
      trueInFlight: this.#views.reduce(
        (sum, { ownInFlight }) => sum + (ownInFlight.get(name) ?? 0),
        0,
      ),
      truePrefillTime: this.#views.reduce(
        (sum, { ownPrefillTime }) => sum + (ownPrefillTime.get(name) ?? 0),
        0,
      ),
    };
  }

  #prefillTime(prompt: number): number {
    const { engine, model } = this.#scenario;
    return prefillMs(engine, prompt) * model.pace;
  }

  /** A log-normal size with a given mean. */
  #sampleSize(mean: number): number {
    const one = Math.sqrt(-2 * Math.log(1 - this.#random.next()));
    const normal = one * Math.cos(2 * Math.PI * this.#random.next());
    const centre = Math.log(mean) - SIZE_SPREAD ** 2 / 2;
    return Math.max(1, Math.round(Math.exp(centre + SIZE_SPREAD * normal)));
  }
}

function emptyView(): IProcessView {
  return {
    ownInFlight: new Map(),
    ownPrefillTime: new Map(),
    othersInFlight: new Map(),
  };
}

function add(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}
