/** Runs a trace through daemons and targets on a fake clock. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import { EventQueue } from "./event_queue.ts";
import { Behaviour, SimulatedTarget } from "./simulated_target.ts";
import type { IPolicy, IPolicyHost } from "./policies.ts";
import { Results } from "./results.ts";
import type { ITraceEntry } from "./trace.ts";

/** Milliseconds from a report's creation until daemons receive it. */
const REPORT_LAG = 1_000;
/** Mean milliseconds between the reports of a target. */
const REPORT_INTERVAL = 1_000;
/** Milliseconds. */
const TICK_INTERVAL = 50;
/** Milliseconds after the last arrival in which responses may still end. */
const DRAIN_TIME = 70_000;

/** The load, the deployment and the faults of a simulation. */
export interface IScenario {
  readonly trace: readonly ITraceEntry[];
  readonly duration: number;
  readonly targets: number;
  readonly daemons: number;
  readonly seed: number;
  /** Whether reports always show the current load, as an oracle sees it. */
  readonly freshReports?: boolean;
  /** Schedules changes of the targets. */
  readonly prepare?: (simulation: Simulation) => void;
}

interface IOpenRequest {
  readonly entry: ITraceEntry;
  readonly policy: IPolicy;
  cancel: () => void;
  receivedTokens: number;
  attempts: number;
  firstTokenAt: number;
  lastTokenAt: number;
  isClosed: boolean;
}

/** Returns a generator of random numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** One run of a scenario under one policy. */
export class Simulation {
  readonly events = new EventQueue();
  readonly targets: readonly SimulatedTarget[];
  readonly all = new Results();
  readonly accounts = new Map<string, Results>();
  /** Second and later attempts sent to targets, by second. */
  readonly retriesBySecond: number[] = [];
  readonly firstAttemptsBySecond: number[] = [];
  readonly #scenario: IScenario;
  readonly #random: () => number;
  readonly #policies: readonly IPolicy[];
  readonly #openRequests = new Map<IWorkItem, IOpenRequest>();
  readonly #reports: { reported: number; describes: number }[];

  constructor(scenario: IScenario, create: (host: IPolicyHost) => IPolicy) {
    this.#scenario = scenario;
    this.#random = seededRandom(scenario.seed);
    this.targets = Array.from(
      { length: scenario.targets },
      (_, index) => new SimulatedTarget(`target-${index}`, this.events),
    );
    this.#reports = this.targets.map(() => ({ reported: 0, describes: 0 }));
    this.#policies = Array.from({ length: scenario.daemons }, () =>
      create(this.#createHost()),
    );
  }

  static run(
    scenario: IScenario,
    create: (host: IPolicyHost) => IPolicy,
  ): Simulation {
    const simulation = new Simulation(scenario, create);
    simulation.#run();
    return simulation;
  }

  resultsOf(account: string): Results {
    const results = this.accounts.get(account) ?? new Results();
    this.accounts.set(account, results);
    return results;
  }

  #run(): void {
    this.#deliverReports();
    this.targets.forEach((_, index) => this.#sampleReport(index));
    this.#policies.forEach((policy) => this.#tick(policy));
    this.#scenario.prepare?.(this);
    for (const entry of this.#scenario.trace) {
      this.events.scheduleAt(entry.work.arrivedAt, () =>
        this.#handleArrival(entry),
      );
    }
    this.events.runUntil(this.#scenario.duration + DRAIN_TIME);
  }

  #sampleReport(index: number): void {
    const target = this.targets[index] as SimulatedTarget;
    const sampled = { reported: target.load, describes: this.events.now };
    this.events.scheduleAfter(REPORT_LAG, () => {
      this.#reports[index] = sampled;
    });
    this.events.scheduleAfter(
      REPORT_INTERVAL * (0.9 + 0.2 * this.#random()),
      () => this.#sampleReport(index),
    );
  }

  #deliverReports(): void {
    const isFresh = this.#scenario.freshReports === true;
    const states = this.targets
      .map((target, index) => {
        const fresh = { reported: target.load, describes: this.events.now };
        const report = isFresh ? fresh : this.#reports[index];
        return { id: target.id, ...(report ?? fresh) };
      })
      .filter((_, index) => this.#isListed(index));
    for (const policy of this.#policies) {
      policy.updateReports(states);
    }
  }

  /** Polling removes targets that refuse connections from the list. */
  #isListed(index: number): boolean {
    return this.targets[index]?.behaviour !== Behaviour.Unreachable;
  }

  #tick(policy: IPolicy): void {
    if (policy === this.#policies[0]) {
      this.#deliverReports();
    }
    policy.tick();
    this.events.scheduleAfter(TICK_INTERVAL, () => this.#tick(policy));
  }

  #handleArrival(entry: ITraceEntry): void {
    const { work } = entry;
    const index = Math.floor(this.#random() * this.#policies.length);
    const policy = this.#policies[index] as IPolicy;
    for (const results of this.#resultsFor(work)) {
      results.offered += 1;
    }
    count(this.firstAttemptsBySecond, this.events.now);
    this.#openRequests.set(work, {
      entry,
      policy,
      cancel: () => {},
      receivedTokens: 0,
      attempts: 0,
      firstTokenAt: Number.NaN,
      lastTokenAt: Number.NaN,
      isClosed: false,
    });
    this.events.scheduleAt(work.deadline, () => this.#handleDeadline(work));
    if (this.#scenario.freshReports) {
      this.#deliverReports();
    }
    policy.submit(work);
  }

  #createHost(): IPolicyHost {
    const { events } = this;
    return {
      get now() {
        return events.now;
      },
      daemons: this.#scenario.daemons,
      random: this.#random,
      send: (work, target) => this.#send(work, target),
      refuse: (work) => this.#refuse(work),
      after: (delay, callback) => events.scheduleAfter(delay, callback),
      cancel: (work) => this.#openRequests.get(work)?.cancel(),
    };
  }

  #send(work: IWorkItem, id: string): void {
    const request = this.#openRequests.get(work);
    const target = this.targets.find((entry) => entry.id === id);
    if (request === undefined || target === undefined) {
      throw new Error(`work ${work.id} cannot be sent to ${id}`);
    }
    if (request.attempts > 0) {
      count(this.retriesBySecond, this.events.now);
    }
    request.attempts += 1;
    let isCurrentAttempt = true;
    request.receivedTokens = 0;
    const cancel = target.accept(work, request.entry.tokens, {
      onToken: (isLast) =>
        isCurrentAttempt && this.#handleToken(request, isLast),
      onFailure: () => isCurrentAttempt && request.policy.onFailure(work),
    });
    request.cancel = () => {
      isCurrentAttempt = false;
      cancel();
    };
  }

  #handleToken(request: IOpenRequest, isLast: boolean): void {
    const { now } = this.events;
    const { work } = request.entry;
    request.receivedTokens += 1;
    for (const results of this.#resultsFor(work)) {
      if (Number.isNaN(request.firstTokenAt)) {
        const firstToken = now - work.arrivedAt;
        results.firstTokens.push(firstToken);
        results.series.push({ at: work.arrivedAt, firstToken });
      } else {
        results.tokenGaps.push(now - request.lastTokenAt);
      }
    }
    request.firstTokenAt = Number.isNaN(request.firstTokenAt)
      ? now
      : request.firstTokenAt;
    request.lastTokenAt = now;
    request.policy.onToken(work);
    if (isLast) {
      this.#complete(request);
    }
  }

  #complete(request: IOpenRequest): void {
    const { work, tokens } = request.entry;
    this.#openRequests.delete(work);
    for (const results of this.#resultsFor(work)) {
      results.onTime += 1;
      results.usefulTokens += tokens;
      results.completionTimes.push(this.events.now);
      results.responseTimes.push(this.events.now - work.arrivedAt);
    }
    request.policy.onFinished(work, tokens);
  }

  /** The deadline has passed, so the caller leaves without a response. */
  #handleDeadline(work: IWorkItem): void {
    const request = this.#openRequests.get(work);
    if (request === undefined) {
      return;
    }
    this.#openRequests.delete(work);
    request.cancel();
    for (const results of this.#resultsFor(work)) {
      results.late += 1;
      results.wastedTokens += request.receivedTokens;
    }
    request.policy.onFinished(work, null);
  }

  #refuse(work: IWorkItem): void {
    const request = this.#openRequests.get(work);
    if (request === undefined) {
      return;
    }
    this.#openRequests.delete(work);
    for (const results of this.#resultsFor(work)) {
      results.refused += 1;
      results.wastedTokens += request.receivedTokens;
      results.refusalDelays.push(this.events.now - work.arrivedAt);
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
