/**
 * Compares the scheduler with simple baselines under load, each case with the
 * same trace and seed: `npm run bench -- decisions [CASE...]`. See
 * docs/DECISIONS.md.
 */
import { measureCapacity } from "./decisions/capacity.ts";
import * as cases from "./decisions/cases.ts";
import {
  LeastReportedLoad,
  RoundRobin,
  SchedulerPolicy,
  SchedulerWithoutAffinity,
} from "./decisions/policies.ts";
import type { IPolicy, IPolicyHost } from "./decisions/policies.ts";
import { percentile } from "./decisions/results.ts";
import type { Results } from "./decisions/results.ts";
import { measureRoutingCost } from "./decisions/routing_cost.ts";
import { Simulation } from "./decisions/simulation.ts";
import type { IScenario } from "./decisions/simulation.ts";

type CreatePolicy = (host: IPolicyHost) => IPolicy;

const createScheduler: CreatePolicy = (host) => new SchedulerPolicy(host);
const POLICIES: readonly (readonly [string, CreatePolicy])[] = [
  ["decisions", createScheduler],
  ["round robin", (host) => new RoundRobin(host)],
  ["least reported", (host) => new LeastReportedLoad(host)],
];

/** Requests per second that the default number of targets serves at most. */
const CAPACITY = 16 * measureCapacity(cases.headlines(100));

/** Milliseconds before goodput is counted. */
const WARM_UP = 10_000;

/** Requests per second at which no resource is scarce. */
const USUAL_RATE = CAPACITY * 0.6;

function print(name: string, value: number | string, unit = ""): void {
  const text = typeof value === "number" ? format(value) : value;
  console.log(`${name}: ${text}${unit === "" ? "" : ` ${unit}`}`);
}

function format(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(3);
}

function firstToken(results: Results, share: number): number {
  return percentile(results.firstTokens, share);
}

function printResults(name: string, results: Results, duration: number): void {
  const wasted = results.wastedTokens;
  const made = wasted + results.usefulTokens;
  print(
    `  ${name}`,
    [
      `on time ${(results.onTimeShare * 100).toFixed(2)}%`,
      `goodput ${format(results.goodput(WARM_UP, duration))}/s`,
      `late ${results.late}`,
      `refused ${results.refused}`,
      `told within ${format(Math.max(0, ...results.refusalDelays))} ms`,
      `first token 95th ${format(firstToken(results, 0.95))} ms`,
      `99th ${format(firstToken(results, 0.99))} ms`,
      `worst ${format(firstToken(results, 1))} ms`,
      `gap 95th ${format(percentile(results.tokenGaps, 0.95))} ms`,
      `wasted ${((wasted / Math.max(1, made)) * 100).toFixed(2)}%`,
    ].join(", "),
  );
}

/** Runs a scenario under every policy and prints the results. */
function compare(scenario: IScenario): ReadonlyMap<string, Simulation> {
  const simulations = new Map<string, Simulation>();
  for (const [name, create] of POLICIES) {
    const simulation = Simulation.run(scenario, create);
    simulations.set(name, simulation);
    printResults(name, simulation.all, scenario.duration);
  }
  return simulations;
}

function laggingReports(): void {
  for (const share of [0.4, 0.6, 0.8]) {
    const scenario = cases.scenario([cases.headlines(CAPACITY * share)]);
    const simulations = compare(scenario);
    const fresh = { ...scenario, freshReports: true, daemons: 1 };
    const oracle = Simulation.run(fresh, createScheduler);
    printResults("oracle", oracle.all, scenario.duration);
    const best = firstToken(oracle.all, 0.95);
    for (const [name, simulation] of simulations) {
      const ratio = firstToken(simulation.all, 0.95) / best;
      print(`load ${share}, first token 95th, ${name} / oracle`, ratio);
    }
  }
}

function manyDaemons(): void {
  const size = { targets: 64, daemons: 37, duration: 30_000 };
  const rate = CAPACITY * 4 * 0.6;
  const scenario = cases.scenario([cases.headlines(rate)], size);
  const oracle = Simulation.run(
    { ...scenario, freshReports: true, daemons: 1 },
    createScheduler,
  );
  const simulations = compare(scenario);
  printResults("oracle", oracle.all, scenario.duration);
  for (const [name, simulation] of simulations) {
    const ratio =
      firstToken(simulation.all, 0.95) / firstToken(oracle.all, 0.95);
    print(`first token 95th, ${name} / oracle`, ratio);
  }
}

function saturation(): void {
  const scenario = cases.scenario([cases.headlines(CAPACITY * 1.5)]);
  for (const [name, simulation] of compare(scenario)) {
    const goodput = simulation.all.goodput(WARM_UP, scenario.duration);
    print(`goodput / capacity, ${name}`, goodput / CAPACITY);
  }
}

function flood(): void {
  const scenario = cases.flood(CAPACITY * 1.5);
  for (const [name, simulation] of compare(scenario)) {
    const shares = [1, 2, 3, 4].map(
      (index) => simulation.resultsOf(`steady-${index}`).onTimeShare,
    );
    const floodShare = simulation.resultsOf("flood").onTimeShare;
    print(`least share on time within plan, ${name}`, Math.min(...shares));
    print(`share on time of the flood, ${name}`, floodShare);
  }
}

function burst(): void {
  const scenario = cases.burst(CAPACITY * 0.4);
  for (const [name, simulation] of compare(scenario)) {
    const { series } = simulation.all;
    const usual = percentile(
      series.filter(({ at }) => at < 20_000).map((entry) => entry.firstToken),
      0.95,
    );
    let normalAt = 25_000;
    for (const { at, firstToken } of series) {
      if (at >= 25_000 && firstToken > usual * 1.5) {
        normalAt = Math.max(normalAt, at);
      }
    }
    print(`back to normal after / burst, ${name}`, (normalAt - 25_000) / 5_000);
  }
}

function longAmongShort(): void {
  for (const share of [0.3, 0.5]) {
    const rate = CAPACITY * share;
    const alone = Simulation.run(
      cases.longAmongShort(rate, false),
      createScheduler,
    );
    const own = alone.resultsOf("desk");
    for (const [name, simulation] of compare(
      cases.longAmongShort(rate, true),
    )) {
      const desk = simulation.resultsOf("desk");
      const briefs = simulation.resultsOf("briefs");
      const first = firstToken(desk, 0.95) / firstToken(own, 0.95);
      const whole =
        percentile(desk.responseTimes, 0.95) /
        percentile(own.responseTimes, 0.95);
      print(`load ${share}, headline first token 95th / alone, ${name}`, first);
      print(`load ${share}, headline whole 95th / alone, ${name}`, whole);
      print(`load ${share}, briefs on time, ${name}`, briefs.onTimeShare);
    }
  }
}

function hotPrefix(): void {
  const scenario = cases.hotPrefix(CAPACITY * 0.3);
  const simulations = new Map(compare(scenario));
  const withoutAffinity = Simulation.run(
    scenario,
    (host) => new SchedulerWithoutAffinity(host),
  );
  printResults("without affinity", withoutAffinity.all, scenario.duration);
  simulations.set("without affinity", withoutAffinity);
  const own = simulations.get("decisions")?.all as Results;
  for (const [name, simulation] of simulations) {
    const ratio = firstToken(own, 0.95) / firstToken(simulation.all, 0.95);
    print(`first token 95th, decisions / ${name}`, ratio);
  }
}

function oneTarget(change: (simulation: Simulation) => void): void {
  const scenario = cases.oneTarget(USUAL_RATE, change);
  const healthy = Simulation.run(
    cases.scenario([cases.headlines(USUAL_RATE)]),
    createScheduler,
  );
  printResults("decisions, all healthy", healthy.all, scenario.duration);
  for (const [name, simulation] of compare(scenario)) {
    const whole = percentile(simulation.all.responseTimes, 0.99);
    const ratio = whole / percentile(healthy.all.responseTimes, 0.99);
    const first =
      firstToken(simulation.all, 0.99) / firstToken(healthy.all, 0.99);
    print(`whole answer 99th / all healthy, ${name}`, ratio);
    print(`first token 99th / all healthy, ${name}`, first);
    const after = simulation.all.series
      .filter(({ at }) => at >= 15_000)
      .map((entry) => entry.firstToken);
    const later = percentile(after, 0.99) / firstToken(healthy.all, 0.99);
    print(`first token 99th / all healthy, 5 s after it began, ${name}`, later);
    print(
      `late or refused, ${name}`,
      simulation.all.late + simulation.all.refused,
    );
  }
}

function retryStorm(): void {
  const span = { from: 20_000, to: 25_000, share: 0.75 };
  const scenario = cases.outage(CAPACITY * 0.5, span);
  for (const [name, simulation] of compare(scenario)) {
    const added = simulation.retriesBySecond.map(
      (retries, second) =>
        retries / (simulation.firstAttemptsBySecond[second] ?? 1),
    );
    const highest = Math.max(...added.filter((share) => share > 0));
    print(`most retries / first tries in a second, ${name}`, highest);
  }
}

function zoneReturns(): void {
  const span = { from: 20_000, to: 40_000, share: 0.5 };
  const scenario = cases.outage(CAPACITY * 0.7, span);
  for (const [name, simulation] of compare(scenario)) {
    const later = simulation.all.series
      .filter(({ at }) => at >= 45_000)
      .map((entry) => entry.firstToken);
    print(
      `first token 95th 5 s after the return, ${name}`,
      percentile(later, 0.95),
      "ms",
    );
  }
}

const CASES = new Map<string, () => void>([
  ["lagging-reports", laggingReports],
  ["many-daemons", manyDaemons],
  ["saturation", saturation],
  ["flood", flood],
  ["burst", burst],
  ["long-among-short", longAmongShort],
  ["hot-prefix", hotPrefix],
  ["slow-target", () => oneTarget(cases.slowFirstTarget)],
  ["silent-target", () => oneTarget(cases.silenceFirstTarget)],
  ["retry-storm", retryStorm],
  ["zone-returns", zoneReturns],
  ["routing-cost", () => print("64 targets", measureRoutingCost(64), "us")],
]);

/** Runs the named cases, or all. */
export async function run(options: readonly string[]): Promise<void> {
  print("capacity of the model", CAPACITY, "headlines/s");
  for (const [name, runCase] of CASES) {
    if (options.length === 0 || options.includes(name)) {
      console.log(`\n${name}`);
      runCase();
    }
  }
}
