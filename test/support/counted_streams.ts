/**
 * Sends a fleet streams at a constant rate while its engines are in trouble, and
 * counts on how many engines each stream began to run.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Path } from "./entry_fleet.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Milliseconds between two streams. */
const STREAM_PERIOD = 40;

/** Milliseconds between two calls of the trouble. */
const TICK = 5;

/** What is sent, and what happens meanwhile. */
export interface ICountedLoad {
  /** Milliseconds. */
  readonly length: number;
  readonly seed: number;
  /** Called again and again. */
  readonly disturb?: (elapsed: number, random: SeededRandom) => void;
}

/** What engines and callers have seen. */
export interface ICountedResult {
  readonly streams: number;
  /** Share of the streams with a whole response, 0 to 1. */
  readonly whole: number;
  /** Streams that ran on more engines than some number. */
  readonly beyond: (engines: number) => number;
  /** Engines that began to run one stream, at most. */
  readonly most: number;
}

/** Runs the load against all processes of a fleet in turn. */
export async function countStreams(
  fleet: EntryFleet,
  load: ICountedLoad,
): Promise<ICountedResult> {
  const random = new SeededRandom(load.seed);
  const startedAt = performance.now();
  const calls: Promise<boolean>[] = [];
  for (;;) {
    const elapsed = performance.now() - startedAt;
    if (elapsed >= load.length) {
      break;
    }
    load.disturb?.(elapsed, random);
    if (elapsed >= calls.length * STREAM_PERIOD) {
      calls.push(isWhole(fleet, calls.length));
    }
    await sleep(TICK);
  }
  const whole = (await Promise.all(calls)).filter(Boolean).length;
  const engines = calls.map((_, index) => enginesOf(fleet, idOf(index)));
  return {
    streams: calls.length,
    whole: whole / calls.length,
    beyond: (allowed) => engines.filter((count) => count > allowed).length,
    most: Math.max(...engines),
  };
}

function idOf(index: number): string {
  return `counted-${index}`;
}

async function isWhole(fleet: EntryFleet, index: number): Promise<boolean> {
  const process = index % fleet.processes.length;
  try {
    const id = idOf(index);
    const { status } = await fleet.sendCall(process, Path.Stream, { id });
    return status === 200;
  } catch {
    // A response that broke off.
    return false;
  }
}

function enginesOf(fleet: EntryFleet, id: string): number {
  return fleet.engines.filter(({ runs }) => runs.includes(id)).length;
}
