/** Plays a trace through daemons and targets on a fake clock. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import { EventQueue } from "./event_queue.ts";
import { Behaviour, FakeTarget } from "./fake_target.ts";
import type { IPolicy, IPolicyHost } from "./policies.ts";
import { Results } from "./results.ts";
import type { ITraceEntry } from "./trace.ts";

/** Time from a report's moment to the daemons, milliseconds. */
const REPORT_LAG = 1_000;
const REPORT_EVERY = 1_000;
const TICK = 50;
/** Time after the last arrival in which answers still come. */
const AFTERMATH = 70_000;

/** What is played. */
export interface IScenario {
  readonly trace: readonly ITraceEntry[];
  readonly duration: number;
  readonly targets: number;
  readonly daemons: number;
  readonly seed: number;
  /** Reports that are always of now, as an oracle would have them. */
  readonly freshReports?: boolean;
  /** What happens to targets, and when. */
  readonly prepare?: (world: World) => void;
}

interface IOpen {
  readonly entry: ITraceEntry;
  readonly policy: IPolicy;
  cancel: () => void;
  made: number;
  tries: number;
  firstTokenAt: number;
  lastTokenAt: number;
  isClosed: boolean;
}

/** Random numbers from a seed, in [0, 1). */
export function seeded(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** One run of a scenario under one policy. */
export class World {
  readonly events = new EventQueue();
  readonly targets: readonly FakeTarget[];
  readonly all = new Results();
  readonly accounts = new Map<string, Results>();
  /** Second and later tries sent to targets, by second. */
  readonly retriesBySecond: number[] = [];
  readonly firstTriesBySecond: number[] = [];
  readonly #scenario: IScenario;
  readonly #random: () => number;
  readonly #policies: readonly IPolicy[];
  readonly #open = new Map<IWorkItem, IOpen>();
  readonly #reports: { reported: number; describes: number }[];

  constructor(scenario: IScenario, create: (host: IPolicyHost) => IPolicy) {
    this.#scenario = scenario;
    this.#random = seeded(scenario.seed);
    this.targets = Array.from(
      { length: scenario.targets },
      (_, index) => new FakeTarget(`target-${index}`, this.events),
    );
    this.#reports = this.targets.map(() => ({ reported: 0, describes: 0 }));
    this.#policies = Array.from({ length: scenario.daemons }, () =>
      create(this.#host()),
    );
  }

  static play(
    scenario: IScenario,
    create: (host: IPolicyHost) => IPolicy,
  ): World {
    const world = new World(scenario, create);
    world.#run();
    return world;
  }

  resultsOf(account: string): Results {
    const results = this.accounts.get(account) ?? new Results();
    this.accounts.set(account, results);
    return results;
  }

  #run(): void {
    this.#tellReports();
    this.targets.forEach((_, index) => this.#takeReport(index));
    this.#policies.forEach((policy) => this.#tick(policy));
    this.#scenario.prepare?.(this);
    for (const entry of this.#scenario.trace) {
      this.events.at(entry.work.arrivedAt, () => this.#arrive(entry));
    }
    this.events.runUntil(this.#scenario.duration + AFTERMATH);
  }

  #takeReport(index: number): void {
    const target = this.targets[index] as FakeTarget;
    const sampled = { reported: target.load, describes: this.events.now };
    this.events.after(REPORT_LAG, () => {
      this.#reports[index] = sampled;
    });
    this.events.after(REPORT_EVERY * (0.9 + 0.2 * this.#random()), () =>
      this.#takeReport(index),
    );
  }

  #tellReports(): void {
    const isFresh = this.#scenario.freshReports === true;
    const states = this.targets
      .map((target, index) => {
        const fresh = { reported: target.load, describes: this.events.now };
        const report = isFresh ? fresh : this.#reports[index];
        return { id: target.id, ...(report ?? fresh) };
      })
      .filter((_, index) => this.#isListed(index));
    for (const policy of this.#policies) {
      policy.report(states);
    }
  }

  /** Targets that refuse connections leave the list when polled. */
  #isListed(index: number): boolean {
    return this.targets[index]?.behaviour !== Behaviour.Away;
  }

  #tick(policy: IPolicy): void {
    if (policy === this.#policies[0]) {
      this.#tellReports();
    }
    policy.tick();
    this.events.after(TICK, () => this.#tick(policy));
  }

  #arrive(entry: ITraceEntry): void {
    const { work } = entry;
    const index = Math.floor(this.#random() * this.#policies.length);
    const policy = this.#policies[index] as IPolicy;
    for (const results of this.#resultsFor(work)) {
      results.offered += 1;
    }
    count(this.firstTriesBySecond, this.events.now);
    this.#open.set(work, {
      entry,
      policy,
      cancel: () => {},
      made: 0,
      tries: 0,
      firstTokenAt: Number.NaN,
      lastTokenAt: Number.NaN,
      isClosed: false,
    });
    this.events.at(work.deadline, () => this.#leave(work));
    if (this.#scenario.freshReports) {
      this.#tellReports();
    }
    policy.arrive(work);
  }

  #host(): IPolicyHost {
    const { events } = this;
    return {
      get now() {
        return events.now;
      },
      daemons: this.#scenario.daemons,
      random: this.#random,
      send: (work, target) => this.#send(work, target),
      refuse: (work) => this.#refuse(work),
      after: (delay, callback) => events.after(delay, callback),
      recall: (work) => this.#open.get(work)?.cancel(),
    };
  }

  #send(work: IWorkItem, id: string): void {
    const open = this.#open.get(work);
    const target = this.targets.find((entry) => entry.id === id);
    if (open === undefined || target === undefined) {
      throw new Error(`work ${work.id} cannot be sent to ${id}`);
    }
    if (open.tries > 0) {
      count(this.retriesBySecond, this.events.now);
    }
    open.tries += 1;
    let isMine = true;
    open.made = 0;
    const cancel = target.accept(work, open.entry.tokens, {
      token: (isLast) => isMine && this.#token(open, isLast),
      failed: () => isMine && open.policy.failed(work),
    });
    open.cancel = () => {
      isMine = false;
      cancel();
    };
  }

  #token(open: IOpen, isLast: boolean): void {
    const { now } = this.events;
    const { work } = open.entry;
    open.made += 1;
    for (const results of this.#resultsFor(work)) {
      if (Number.isNaN(open.firstTokenAt)) {
        const firstToken = now - work.arrivedAt;
        results.firstTokens.push(firstToken);
        results.series.push({ at: work.arrivedAt, firstToken });
      } else {
        results.gaps.push(now - open.lastTokenAt);
      }
    }
    open.firstTokenAt = Number.isNaN(open.firstTokenAt)
      ? now
      : open.firstTokenAt;
    open.lastTokenAt = now;
    open.policy.tokens(work);
    if (isLast) {
      this.#complete(open);
    }
  }

  #complete(open: IOpen): void {
    const { work, tokens } = open.entry;
    this.#open.delete(work);
    for (const results of this.#resultsFor(work)) {
      results.onTime += 1;
      results.usefulTokens += tokens;
      results.completedAt.push(this.events.now);
      results.totals.push(this.events.now - work.arrivedAt);
    }
    open.policy.finished(work, tokens);
  }

  /** The deadline has passed: the caller leaves with nothing. */
  #leave(work: IWorkItem): void {
    const open = this.#open.get(work);
    if (open === undefined) {
      return;
    }
    this.#open.delete(work);
    open.cancel();
    for (const results of this.#resultsFor(work)) {
      results.late += 1;
      results.wastedTokens += open.made;
    }
    open.policy.finished(work, null);
  }

  #refuse(work: IWorkItem): void {
    const open = this.#open.get(work);
    if (open === undefined) {
      return;
    }
    this.#open.delete(work);
    for (const results of this.#resultsFor(work)) {
      results.refused += 1;
      results.wastedTokens += open.made;
      results.refusedAfter.push(this.events.now - work.arrivedAt);
    }
  }

  #resultsFor(work: IWorkItem): readonly Results[] {
    return [this.all, this.resultsOf(work.account)];
  }
}

function count(bySecond: number[], now: number): void {
  const second = Math.floor(now / 1_000);
  bySecond[second] = (bySecond[second] ?? 0) + 1;
}
