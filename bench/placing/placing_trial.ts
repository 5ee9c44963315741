/** One trial of placing: several processes send to groups they know in part. */
import type { IGroupLoad } from "../../src/common/calls/group_choice.ts";
import { prefillMs } from "../../src/common/calls/engine_timing.ts";
import type { IEngineProfile, IModel } from "../../src/common/calls/types.ts";
import { SeededRandom } from "../../test/support/seeded_random.ts";
import { EventQueue } from "../decisions/event_queue.ts";
import { EngineGroup } from "./engine_group.ts";

/** What a process knows of a group when it places. */
export interface IKnownGroup extends IGroupLoad {
  /** The truth, for the oracle only. */
  readonly trueInFlight: number;
  readonly trueBacklog: number;
}

/** What a process knows beside the groups. */
export interface IPlacingOptions {
  readonly processes: number;
  /** Milliseconds of unread prompts behind which a call can be on time. */
  readonly prefillBudget: number;
  readonly chance: () => number;
}

/** Chooses a group; null when all seem full. */
export type PlacingPolicy = (
  groups: readonly IKnownGroup[],
  options: IPlacingOptions,
) => string | null;

/** What is played. */
export interface IPlacingCase {
  readonly name: string;
  readonly engine: IEngineProfile;
  readonly model: IModel;
  readonly groups: number;
  readonly processes: number;
  readonly requestsPerSecond: number;
  readonly prompt: number;
  readonly output: number;
  /** Milliseconds until the first event for an answer on time. */
  readonly objective: number;
  /** Milliseconds: one group after the other is empty and new. */
  readonly renewEvery: number;
}

/** Age of the others' counts at most, milliseconds. */
const TOLD_EVERY = 230;

/** Before each first event beside the work, milliseconds; as seen of engines. */
const ENTRY_TIME = 110;

/** How long is played, milliseconds. */
const LENGTH = 60_000;

/** Spread of the sizes: a long tail, as the users' tables have. */
const SIZE_SPREAD = 0.8;

interface IRequest {
  readonly index: number;
  readonly arrivedAt: number;
  readonly prompt: number;
  readonly output: number;
}

interface IOwnView {
  own: Map<string, number>;
  reading: Map<string, number>;
  others: Map<string, number>;
}

/** Share of the requests whose first event is late. */
export function playPlacing(
  kase: IPlacingCase,
  policy: PlacingPolicy,
  seed: number,
): number {
  const trial = new Trial(kase, policy, seed);
  return trial.play();
}

class Trial {
  readonly #case: IPlacingCase;
  readonly #policy: PlacingPolicy;
  readonly #random: SeededRandom;
  readonly #queue = new EventQueue();
  readonly #views: IOwnView[] = [];
  #groups: EngineGroup[] = [];
  /** Requests that wait in each process. */
  readonly #waiting: IRequest[][] = [];
  #made = 0;
  #late = 0;
  #count = 0;

  constructor(kase: IPlacingCase, policy: PlacingPolicy, seed: number) {
    this.#case = kase;
    this.#policy = policy;
    this.#random = new SeededRandom(seed);
  }

  play(): number {
    const { groups, processes, renewEvery } = this.#case;
    for (let index = 0; index < groups; index += 1) {
      this.#groups.push(this.#newGroup());
    }
    for (let index = 0; index < processes; index += 1) {
      this.#views.push(emptyView());
      this.#waiting.push([]);
      this.#tell(index, (TOLD_EVERY * index) / processes);
    }
    this.#renew(renewEvery);
    this.#arrive();
    this.#queue.runUntil(LENGTH);
    return this.#late / Math.max(1, this.#count);
  }

  #newGroup(): EngineGroup {
    const { engine, model } = this.#case;
    this.#made += 1;
    const kind = { engine, model, entryTime: ENTRY_TIME };
    return new EngineGroup(`group-${this.#made}`, kind, this.#queue);
  }

  /** A group is given up for a new one; what runs in it goes on. */
  #renew(after: number): void {
    this.#queue.after(after, () => {
      this.#groups = [...this.#groups.slice(1), this.#newGroup()];
      this.#renew(after);
    });
  }

  #tell(index: number, after: number): void {
    this.#queue.after(after, () => {
      const others = new Map<string, number>();
      this.#views.forEach((view, other) => {
        if (other !== index) {
          view.own.forEach((count, group) => add(others, group, count));
        }
      });
      const view = this.#views[index];
      if (view !== undefined) {
        view.others = others;
        this.#retry(index);
      }
      this.#tell(index, TOLD_EVERY);
    });
  }

  #arrive(): void {
    const gap = 1_000 / this.#case.requestsPerSecond;
    const wait = -Math.log(1 - this.#random.next()) * gap;
    this.#queue.after(wait, () => {
      this.#request();
      this.#arrive();
    });
  }

  #request(): void {
    const index = Math.floor(this.#random.next() * this.#case.processes);
    const arrivedAt = this.#queue.now;
    const prompt = this.#size(this.#case.prompt);
    const output = this.#size(this.#case.output);
    this.#count += 1;
    this.#waiting[index]?.push({ index, arrivedAt, prompt, output });
    this.#retry(index);
  }

  #place(request: IRequest): boolean {
    const { index, arrivedAt, prompt, output } = request;
    const view = this.#views[index];
    const known = this.#groups.map((group) => this.#known(group, view));
    const name = this.#policy(known, {
      processes: this.#case.processes,
      prefillBudget: this.#case.objective - ENTRY_TIME,
      chance: () => this.#random.next(),
    });
    const group = this.#groups.find((one) => one.name === name);
    if (view === undefined || group === undefined) {
      return false;
    }
    const reading = this.#readTime(prompt);
    add(view.own, group.name, 1);
    add(view.reading, group.name, reading);
    group.take({
      prompt,
      output,
      sentAt: this.#queue.now,
      firstEventAt: null,
      read: 0,
      written: 0,
      onFirstEvent: () => {
        add(view.reading, group.name, -reading);
        const isLate = this.#queue.now - arrivedAt > this.#case.objective;
        this.#late += isLate ? 1 : 0;
        this.#retry(index);
      },
      onEnd: () => {
        add(view.own, group.name, -1);
        this.#retry(index);
      },
    });
    return true;
  }

  /** Those that can be on time go first. */
  #retry(index: number): void {
    const waiting = this.#waiting[index] ?? [];
    const canBeOnTime = ({ arrivedAt }: IRequest) =>
      this.#queue.now - arrivedAt + ENTRY_TIME < this.#case.objective;
    while (waiting.length > 0) {
      const next = waiting.find(canBeOnTime) ?? waiting[0];
      if (next === undefined || !this.#place(next)) {
        return;
      }
      waiting.splice(waiting.indexOf(next), 1);
    }
  }

  #known(group: EngineGroup, view: IOwnView | undefined): IKnownGroup {
    const { name } = group;
    return {
      group: name,
      zone: "one",
      pace: 1,
      slots: this.#case.engine.slots,
      ownInFlight: view?.own.get(name) ?? 0,
      othersInFlight: view?.others.get(name) ?? 0,
      ownPrefillTime: view?.reading.get(name) ?? 0,
      trueInFlight: this.#views.reduce(
        (sum, { own }) => sum + (own.get(name) ?? 0),
        0,
      ),
      trueBacklog: this.#views.reduce(
        (sum, { reading }) => sum + (reading.get(name) ?? 0),
        0,
      ),
    };
  }

  #readTime(prompt: number): number {
    const { engine, model } = this.#case;
    return prefillMs(engine, prompt) * model.pace;
  }

  /** Log-normal round the mean. */
  #size(mean: number): number {
    const one = Math.sqrt(-2 * Math.log(1 - this.#random.next()));
    const normal = one * Math.cos(2 * Math.PI * this.#random.next());
    const centre = Math.log(mean) - SIZE_SPREAD ** 2 / 2;
    return Math.max(1, Math.round(Math.exp(centre + SIZE_SPREAD * normal)));
  }
}

function emptyView(): IOwnView {
  return {
    own: new Map(),
    reading: new Map(),
    others: new Map(),
  };
}

function add(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}
