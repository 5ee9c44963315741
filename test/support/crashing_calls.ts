/**
 * Sends a fleet calls whose prompts crash engines, beside sound calls, and
 * measures how many of each reach an engine and are served.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Path } from "./entry_fleet.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Milliseconds between two calls of one kind. */
const SOUND_PERIOD = 30;
const CRASHING_PERIOD = 160;

/**
 * The platform's rule, in milliseconds and calls: from `SETTLING_TIME` after
 * the fifth crash on, at most `MAXIMUM_LATE` further calls with the part may
 * reach engines.
 */
const COUNTED_CRASHES = 5;
const SETTLING_TIME = 3_000;
export const MAXIMUM_LATE = 3;

/** What is sent. */
export interface ICrashingLoad {
  /** Milliseconds. */
  readonly length: number;
  readonly seed: number;
  /** The shared parts of the crashing calls; null while none is sent. */
  readonly crashingParts: (elapsed: number) => readonly string[] | null;
  /** Called again and again, to disturb the fleet. */
  readonly disturb?: (elapsed: number) => void;
  /** The shared parts of a sound call. */
  readonly soundParts: (random: SeededRandom) => readonly string[];
}

interface ISoundCall {
  readonly sentAt: number;
  /** Status of the answer; 0 for a connection that broke. */
  readonly status: number;
}

/** What engines and callers have seen. */
export interface ICrashingResult {
  readonly crashes: number;
  /**
   * Calls that came too late after the fifth crash by their part; the largest
   * number of any part.
   */
  readonly late: number;
  /** Shares of the sound calls that were served, 0 to 1. */
  readonly servedBefore: number;
  readonly servedAfter: number;
  /** Sound calls that were refused because of their prompts. */
  readonly wronglyRefused: number;
}

/** Runs a load against a fleet. */
export class CrashingCalls {
  readonly #fleet: EntryFleet;
  readonly #sound: ISoundCall[] = [];
  readonly #pending = new Set<Promise<void>>();
  #wronglyRefused = 0;
  #serial = 0;

  constructor(fleet: EntryFleet) {
    this.#fleet = fleet;
  }

  async run(load: ICrashingLoad): Promise<ICrashingResult> {
    const random = new SeededRandom(load.seed);
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    let nextSound = 0;
    let nextCrashing = 0;
    while (elapsed() < load.length) {
      const now = elapsed();
      if (now >= nextSound) {
        nextSound += SOUND_PERIOD;
        this.#track(this.#sendSound(load.soundParts(random), random));
      }
      load.disturb?.(now);
      const parts = load.crashingParts(now);
      if (now >= nextCrashing) {
        nextCrashing += CRASHING_PERIOD;
        if (parts !== null) {
          this.#track(this.#send(parts, random).then(() => undefined));
        }
      }
      await sleep(5);
    }
    await Promise.all(this.#pending);
    return this.#result(startedAt);
  }

  async #sendSound(
    parts: readonly string[],
    random: SeededRandom,
  ): Promise<void> {
    const sentAt = performance.now();
    const { status, text } = await this.#send(parts, random);
    this.#sound.push({ sentAt, status });
    this.#wronglyRefused += text.includes("quarantined") ? 1 : 0;
  }

  async #send(
    parts: readonly string[],
    random: SeededRandom,
  ): Promise<{ readonly status: number; readonly text: string }> {
    this.#serial += 1;
    const { processes } = this.#fleet;
    const index = Math.floor(random.next() * processes.length);
    const entries = [...parts, `own-${this.#serial}`];
    const header = entries.map((part) => `${part}:50`).join(",");
    try {
      return await this.#fleet.sendCall(index, Path.Stream, { parts: header });
    } catch {
      // A response that broke off: the caller cannot use it.
      return { status: 0, text: "" };
    }
  }

  #track(call: Promise<void>): void {
    this.#pending.add(call);
    void call.then(() => this.#pending.delete(call));
  }

  #result(startedAt: number): ICrashingResult {
    const { engines } = this.#fleet;
    const crashes = engines
      .flatMap((engine) => engine.crashes)
      .sort((one, other) => one.at - other.at);
    const arrivals = engines.flatMap((engine) => engine.crashingArrivals);
    const parts = [...new Set(crashes.map(({ part }) => part))];
    const countedOf = (part: string | null) => {
      const times = crashes.filter((one) => one.part === part);
      return times[COUNTED_CRASHES - 1]?.at ?? Number.POSITIVE_INFINITY;
    };
    const late = parts.map(
      (part) =>
        arrivals.filter(
          (one) =>
            one.part === part && one.at > countedOf(part) + SETTLING_TIME,
        ).length,
    );
    const first = crashes[0]?.at ?? Number.POSITIVE_INFINITY;
    const last = crashes.at(-1)?.at ?? Number.POSITIVE_INFINITY;
    const settled = Math.max(
      ...parts.map((part) => Math.min(countedOf(part), last)),
    );
    return {
      crashes: crashes.filter(({ at }) => at > startedAt).length,
      late: Math.max(0, ...late),
      servedBefore: servedShare(this.#sound, (at) => at < first - 1_000),
      servedAfter: servedShare(
        this.#sound,
        (at) => at > settled + 2 * SETTLING_TIME,
      ),
      wronglyRefused: this.#wronglyRefused,
    };
  }
}

function servedShare(
  calls: readonly ISoundCall[],
  isCounted: (sentAt: number) => boolean,
): number {
  const counted = calls.filter(({ sentAt }) => isCounted(sentAt));
  const served = counted.filter(({ status }) => status === 200);
  return counted.length === 0 ? 1 : served.length / counted.length;
}
