/** The load cases, with the events of each and their times. */
import { Behaviour } from "./simulated_target.ts";
import type { IFlow, ITraceEntry } from "./trace.ts";
import { generateTrace } from "./trace.ts";
import type { IScenario, Simulation } from "./simulation.ts";
import { seededRandom } from "./simulation.ts";

const TARGETS = 16;
const DAEMONS = 2;
const TRACE_SEED = 1;
const RUN_SEED = 2;

/** Duration of most cases, milliseconds. */
export const DURATION = 60_000;

/** Short requests, as editors and subscribers send them. */
export const HEADLINE: Omit<IFlow, "rate"> = {
  account: "desk",
  priority: 5,
  promptTokens: 300,
  askedTokens: 50,
  deadline: 8_000,
};

/** Long requests. */
export const BRIEF: Omit<IFlow, "rate"> = {
  account: "briefs",
  priority: 5,
  promptTokens: 3_000,
  askedTokens: 600,
  deadline: 120_000,
};

/** A flow of headlines at a steady rate. */
export function headlines(rate: number, account = "desk"): IFlow {
  return { ...HEADLINE, account, rate: () => rate };
}

/** A scenario with the default numbers of targets and daemons. */
export function scenario(
  flows: readonly IFlow[],
  rest: Partial<IScenario> = {},
): IScenario {
  const duration = rest.duration ?? DURATION;
  const trace: readonly ITraceEntry[] = generateTrace(
    flows,
    duration,
    seededRandom(TRACE_SEED),
  );
  return {
    trace,
    duration,
    targets: TARGETS,
    daemons: DAEMONS,
    seed: RUN_SEED,
    ...rest,
  };
}

/** Ten times the usual rate for five seconds. */
export function burst(rate: number): IScenario {
  const isBurst = (time: number) => time >= 20_000 && time < 25_000;
  return scenario([
    { ...HEADLINE, rate: (time) => (isBurst(time) ? rate * 10 : rate) },
  ]);
}

/** One account sends 80% of the load, four others the rest. */
export function flood(rate: number): IScenario {
  const others = [1, 2, 3, 4].map((index) =>
    headlines(rate * 0.05, `steady-${index}`),
  );
  return scenario([headlines(rate * 0.8, "flood"), ...others]);
}

/** One request in twenty is a long brief. */
export function longAmongShort(rate: number, hasLong: boolean): IScenario {
  const short = { ...headlines(rate * 0.95) };
  const long = { ...BRIEF, rate: () => rate * 0.05 };
  return scenario(hasLong ? [short, long] : [short], { duration: 120_000 });
}

/** A fifth of the requests share one prefix, the rest a hundred others. */
export function hotPrefix(rate: number): IScenario {
  const prompt = { promptTokens: 2_000 };
  return scenario([
    { ...headlines(rate * 0.2, "hot"), ...prompt, prefixes: 1 },
    { ...headlines(rate * 0.8, "warm"), ...prompt, prefixes: 100 },
  ]);
}

/** One target changes its behaviour after 10 s. */
export function oneTarget(
  rate: number,
  change: (simulation: Simulation) => void,
): IScenario {
  return scenario([headlines(rate)], {
    prepare: (simulation) =>
      simulation.events.scheduleAt(10_000, () => change(simulation)),
  });
}

/** Slows the first target down to a fifth of its speed. */
export function slowFirstTarget(simulation: Simulation): void {
  simulation.targets[0]?.setSlowness(5);
}

/** Makes the first target accept requests without ever answering. */
export function silenceFirstTarget(simulation: Simulation): void {
  simulation.targets[0]?.setBehaviour(Behaviour.Silent);
}

/** A share of the targets is unreachable between two times, milliseconds. */
export function outage(
  rate: number,
  span: { readonly from: number; readonly to: number; readonly share: number },
): IScenario {
  return scenario([headlines(rate)], {
    prepare: (simulation) => {
      const count = simulation.targets.length * span.share;
      for (const target of simulation.targets.slice(0, count)) {
        simulation.events.scheduleAt(span.from, () =>
          target.setBehaviour(Behaviour.Unreachable),
        );
        simulation.events.scheduleAt(span.to, () =>
          target.setBehaviour(Behaviour.Serving),
        );
      }
    },
  });
}
