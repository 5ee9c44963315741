/** Request traces generated from a seed. */
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";

/** A request and the actual number of tokens of its response. */
export interface ITraceEntry {
  readonly work: IWorkItem;
  readonly tokens: number;
}

/** A stream of similar requests of one account. */
export interface IFlow {
  readonly account: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly askedTokens: number;
  /** Requests per second at a time in milliseconds. */
  readonly rate: (time: number) => number;
  /** Milliseconds after arrival. */
  readonly deadline: number;
  /** Number of different prefixes; 0 for none. */
  readonly prefixes?: number;
}

/** Least share of the asked tokens that a response has. */
const SHORTEST_ANSWER = 0.6;

/** Poisson arrivals of all flows in order of time, by thinning. */
export function generateTrace(
  flows: readonly IFlow[],
  duration: number,
  random: () => number,
): readonly ITraceEntry[] {
  const entries: ITraceEntry[] = [];
  for (const [index, flow] of flows.entries()) {
    const rates = Array.from({ length: Math.ceil(duration / 100) }, (_, step) =>
      flow.rate(step * 100),
    );
    const highest = Math.max(...rates);
    let time = 0;
    while (highest > 0) {
      time -= (Math.log(1 - random()) / highest) * 1_000;
      if (time >= duration) {
        break;
      }
      if (random() < flow.rate(time) / highest) {
        entries.push(
          createEntry(flow, `${index}-${entries.length}`, time, random),
        );
      }
    }
  }
  return entries.sort((a, b) => a.work.arrivedAt - b.work.arrivedAt);
}

function createEntry(
  flow: IFlow,
  id: string,
  time: number,
  random: () => number,
): ITraceEntry {
  const { account, priority, promptTokens, askedTokens, deadline } = flow;
  const share = SHORTEST_ANSWER + random() * (1 - SHORTEST_ANSWER);
  const prefix = flow.prefixes
    ? `${account}-${Math.floor(random() * flow.prefixes)}`
    : "";
  return {
    work: {
      id,
      account,
      priority,
      promptTokens,
      askedTokens,
      isCall: false,
      prefix,
      arrivedAt: time,
      deadline: time + deadline,
    },
    tokens: Math.max(1, Math.round(askedTokens * share)),
  };
}
