/**
 * Targets that write answers in pieces without end and are sound again, in
 * overlapping series, before processes that are stopped, slow and replaced.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { ENDLESS_EVENTS, ENDLESS_PIECES } from "./endless_pieces.ts";
import type { IEndlessAnswer } from "./endless_pieces.ts";
import { EVENTS } from "./entry_deployment.ts";
import { EntryFleet, Path } from "./entry_fleet.ts";
import type { IFleetProcess } from "./entry_fleet.ts";
import { MemorySampler } from "./memory_sampler.ts";
import { waitFor } from "./process_handle.ts";
import { ProcessorThrottle } from "./processor_throttle.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Megabytes of a process and of its heap, as on the platform. */
export const MEMORY = 350;
const HEAP = 160;

const PROCESSES = 2;

/** Milliseconds between two calls, and between two changes of targets. */
const CALL_PERIOD = 40;
const CHANGE_PERIOD = 400;

/** Milliseconds for which a target is faulty, at least and beyond that. */
const SHORTEST_FAULT = 300;
const FAULT_RANGE = 2_500;

/** Milliseconds for which a process is slow. */
const SLOW_TIME = 1_000;

/** Chances at each change that a process is slow, and that it stops. */
const SLOW_CHANCE = 0.08;
const STOP_CHANCE = 0.05;

const PATTERNS: readonly IEndlessAnswer[] = [
  ...Object.values(ENDLESS_PIECES),
  ENDLESS_EVENTS,
];

/** Paths of engines that are answered so; null for calls. */
const ENGINE_PATHS = [null, null, "/report", "/order"];

/** What callers saw of one play. */
export interface IMixOutcome {
  /** Processes that ended without a signal. */
  readonly ended: readonly string[];
  /** Megabytes of the process that took most. */
  readonly peak: number;
  readonly calls: number;
  readonly served: number;
  /** Successes whose content is not that of a sound target. */
  readonly wrong: readonly string[];
}

/** Plays faults for a time, then waits until each process serves again. */
export class AnswerMix {
  readonly #random: SeededRandom;
  readonly #fleet = new EntryFleet();
  readonly #samplers: MemorySampler[] = [];
  readonly #ended: string[] = [];
  readonly #wrong: string[] = [];
  #calls = 0;
  #served = 0;
  #isReplacing = false;
  #isOver = false;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#fleet.limits = { memory: MEMORY, heap: HEAP };
    // A link would keep what a process does not read.
    this.#fleet.hasLinks = false;
  }

  /** @param time - milliseconds for which faults come */
  async play(time: number): Promise<IMixOutcome> {
    await using fleet = this.#fleet;
    await fleet.start(PROCESSES);
    fleet.processes.forEach((process) => this.#sample(process));
    const calling = this.#sendCalls();
    const startedAt = performance.now();
    const changes: Promise<void>[] = [];
    while (performance.now() - startedAt < time) {
      changes.push(this.#change());
      await sleep(CHANGE_PERIOD);
    }
    await Promise.all(changes);
    this.#isOver = true;
    await calling;
    await this.#waitUntilServed();
    this.#samplers.forEach((sampler) => sampler[Symbol.dispose]());
    return {
      ended: this.#ended,
      peak: Math.max(...this.#samplers.map(({ peak }) => peak)),
      calls: this.#calls,
      served: this.#served,
      wrong: this.#wrong,
    };
  }

  #sample({ handle }: IFleetProcess): void {
    this.#samplers.push(new MemorySampler(handle, MEMORY));
  }

  #chooseOf<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.#random.next() * items.length)];
    if (item === undefined) {
      throw new Error("choose of nothing");
    }
    return item;
  }

  /** A target is faulty for a while; a process may be slow, or stop. */
  async #change(): Promise<void> {
    const { plainTargets, engines } = this.#fleet;
    const answer = this.#chooseOf(PATTERNS);
    const time = SHORTEST_FAULT + this.#random.next() * FAULT_RANGE;
    const isPlain = this.#random.next() < 0.5;
    const chance = this.#random.next();
    if (isPlain) {
      const target = this.#chooseOf(plainTargets);
      target.pieces = answer;
      await this.#disturb(chance, time);
      target.pieces = null;
    } else {
      const engine = this.#chooseOf(engines);
      engine.pieces = { path: this.#chooseOf(ENGINE_PATHS), answer };
      await this.#disturb(chance, time);
      engine.pieces = null;
    }
  }

  async #disturb(chance: number, time: number): Promise<void> {
    const index = Math.floor(this.#random.next() * PROCESSES);
    if (chance < SLOW_CHANCE) {
      await this.#slow(index);
    } else if (chance > 1 - STOP_CHANCE) {
      await this.#replace(index);
    } else {
      await sleep(time);
    }
  }

  async #slow(index: number): Promise<void> {
    const process = this.#fleet.processes[index];
    if (process !== undefined && !process.handle.hasExited) {
      const throttle = new ProcessorThrottle(process.handle);
      await sleep(SLOW_TIME);
      await throttle[Symbol.asyncDispose]();
    }
  }

  /** Stops a process as the platform does, and starts another one. */
  async #replace(index: number): Promise<void> {
    const process = this.#fleet.processes[index];
    if (process === undefined || this.#isReplacing) {
      return;
    }
    this.#isReplacing = true;
    this.#checkRunning();
    process.handle.signal("SIGTERM");
    await process.handle.waitForExit();
    await this.#fleet.restartProcess(index);
    const next = this.#fleet.processes[index];
    if (next !== undefined) {
      this.#sample(next);
    }
    this.#isReplacing = false;
  }

  #checkRunning(): void {
    for (const { handle } of this.#fleet.processes) {
      if (handle.hasExited) {
        this.#ended.push(`${handle.name}: ${handle.output.slice(-500)}`);
      }
    }
  }

  async #sendCalls(): Promise<void> {
    const open = new Set<Promise<void>>();
    while (!this.#isOver) {
      const call = this.#call(this.#calls);
      open.add(call);
      void call.finally(() => open.delete(call));
      this.#calls += 1;
      await sleep(CALL_PERIOD);
    }
    await Promise.all(open);
    if (!this.#isReplacing) {
      this.#checkRunning();
    }
  }

  async #call(number: number): Promise<void> {
    const paths = Object.values(Path);
    const path = paths[number % paths.length] ?? Path.Safe;
    const index = number % PROCESSES;
    const answer = await this.#fleet.sendCall(index, path).catch(() => null);
    if (answer?.status !== 200) {
      return;
    }
    this.#served += 1;
    if (!isSound(path, answer.text)) {
      this.#wrong.push(`${path}: ${answer.text.slice(0, 200)}`);
    }
  }

  async #waitUntilServed(): Promise<void> {
    for (let index = 0; index < PROCESSES; index += 1) {
      for (const path of Object.values(Path)) {
        await waitFor(`process ${index} serves ${path} again`, async () => {
          const answer = await this.#fleet
            .sendCall(index, path)
            .catch(() => null);
          return answer?.status === 200 && isSound(path, answer.text);
        });
      }
    }
  }
}

/** Whether a content is a whole one of a sound target. */
function isSound(path: Path, text: string): boolean {
  if (path !== Path.Stream) {
    return text === "done";
  }
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const isInOrder = ids.every((id, index) => id === index + 1);
  return ids.length === EVENTS && isInOrder;
}
