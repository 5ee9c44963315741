/**
 * Sends a fleet requests that crash each engine that begins an answer to them,
 * beside sound calls that share all their other parts. Their callers repeat them
 * at other processes, each attempt under an id of its own.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Path } from "./entry_fleet.ts";
import type { EntryFleet, ICallAnswer } from "./entry_fleet.ts";

/** Milliseconds between two sound calls. */
const SOUND_PERIOD = 40;

/** Milliseconds between two calls of the trouble. */
const TICK = 5;

/** Attempts of one caller. */
const ATTEMPTS = 6;

/** Milliseconds of Retry-After beyond which a caller gives up. */
const LONGEST_WAIT = 3_000;

/** Engines that may end under one request: it is sent to no further one. */
export const ALLOWED_CRASHES = 3;

const SHARED_PARTS = ["system", "desk"];

/** What is sent. */
export interface IRequestLoad {
  /** Milliseconds. */
  readonly length: number;
  /** Milliseconds at which requests that crash engines begin. */
  readonly starts: readonly number[];
  /** Called again and again, to disturb the fleet. */
  readonly disturb?: (elapsed: number) => void;
}

/** What engines and callers have seen. */
export interface IRequestResult {
  /** For each request, the engines that it ended. */
  readonly crashes: readonly number[];
  /** For each, its arrivals after the last crash that is allowed. */
  readonly late: readonly number[];
  readonly sound: number;
  /** Share of the sound calls that were whole, 0 to 1. */
  readonly whole: number;
  /** Sound calls that were refused because of their prompts. */
  readonly wronglyRefused: number;
}

/** Own parts of the requests of a load. */
export function crashingPartsOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `bad-${index}`);
}

/** Runs a load; the engines crash by the parts that it names. */
export async function sendCrashingRequests(
  fleet: EntryFleet,
  load: IRequestLoad,
): Promise<IRequestResult> {
  const parts = crashingPartsOf(load.starts.length);
  fleet.engines.forEach((one) => (one.crashingRequests = new Set(parts)));
  const startedAt = performance.now();
  const sound: Promise<ICallAnswer | null>[] = [];
  const callers: Promise<void>[] = [];
  for (;;) {
    const elapsed = performance.now() - startedAt;
    if (elapsed >= load.length) {
      break;
    }
    load.disturb?.(elapsed);
    if (elapsed >= sound.length * SOUND_PERIOD) {
      const index = sound.length;
      sound.push(send(fleet, index, `own-${index}`));
    }
    const next = load.starts[callers.length] ?? Number.POSITIVE_INFINITY;
    if (elapsed >= next) {
      callers.push(repeat(fleet, parts[callers.length] ?? ""));
    }
    await sleep(TICK);
  }
  await Promise.all(callers);
  return resultOf(fleet, parts, await Promise.all(sound));
}

async function repeat(fleet: EntryFleet, part: string): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const answer = await send(fleet, attempt, part);
    if (answer?.status === 200) {
      return;
    }
    const wait = (Number(answer?.retryAfter) || 0) * 1_000;
    if (wait > LONGEST_WAIT) {
      return;
    }
    await sleep(wait);
  }
}

/** Null for an answer that broke off. */
async function send(
  fleet: EntryFleet,
  index: number,
  own: string,
): Promise<ICallAnswer | null> {
  const parts = [...SHARED_PARTS, own].map((part) => `${part}:50`).join(",");
  try {
    const process = index % fleet.processes.length;
    return await fleet.sendCall(process, Path.Stream, { parts });
  } catch {
    // The caller cannot use it.
    return null;
  }
}

function resultOf(
  { engines }: EntryFleet,
  parts: readonly string[],
  sound: readonly (ICallAnswer | null)[],
): IRequestResult {
  const crashes = engines.flatMap((engine) => engine.requestCrashes);
  const arrivals = engines.flatMap((engine) => engine.requestArrivals);
  const timesOf = (part: string) =>
    crashes
      .filter((one) => one.part === part)
      .map(({ at }) => at)
      .sort((one, other) => one - other);
  const whole = sound.filter((answer) => answer?.status === 200);
  return {
    crashes: parts.map((part) => timesOf(part).length),
    late: parts.map((part) => {
      const last = timesOf(part)[ALLOWED_CRASHES - 1];
      return arrivals.filter(
        (one) => one.part === part && one.at > (last ?? one.at),
      ).length;
    }),
    sound: sound.length,
    whole: whole.length / sound.length,
    wronglyRefused: sound.filter((answer) =>
      answer?.text.includes("quarantined"),
    ).length,
  };
}
