/** Requests to play, made from a seed. */
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";

/** A request and how many tokens its answer really has. */
export interface ITraceEntry {
  readonly work: IWorkItem;
  readonly tokens: number;
}

/** Requests of one account and kind. */
export interface IFlow {
  readonly account: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly askedTokens: number;
  /** Requests a second at a time, milliseconds. */
  readonly rate: (time: number) => number;
  /** Milliseconds. */
  readonly deadline: number;
  /** How many different prefixes; 0 for none. */
  readonly prefixes?: number;
}

/** Answers are this share of what was asked at least. */
const SHORTEST_ANSWER = 0.6;

/** Poisson arrivals of all flows, in order of time. */
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
