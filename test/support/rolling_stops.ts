/**
 * Stops the processes of a fleet one after the other while callers go on using
 * their open connections, and judges how each call around a stop ended.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryFleet, Path } from "./entry_fleet.ts";
import type { PlatformEngine } from "./platform_engine.ts";
import type { ProcessHandle } from "./process_handle.ts";
import { SeededRandom } from "./seeded_random.ts";

const PROCESSES = 3;
const ENGINES = 16;

/** Events of a stream, which takes about 1.4 s. */
const STREAM_EVENTS = 70;

/** Milliseconds between two calls to one process. */
const CALL_PERIOD = 45;

/** Milliseconds of load before the first stop, and between two stops. */
const CALM_TIME = 1_500;

/** Milliseconds after SIGTERM at which a process is killed. */
const GRACE_TIME = 8_000;

/** Calls count that are sent until so long after SIGTERM, milliseconds. */
const ADMISSION_TIME = 3_000;

/** From then on, what still runs at a target may be cut, milliseconds. */
const LAST_SIXTH = (GRACE_TIME * 5) / 6;

/** Milliseconds until a call that no target has got must be answered. */
const ANSWER_TIME = 500;

/** Deadline of each call, milliseconds. */
const DEADLINE = 8_000;

/** Milliseconds by which a deadline may be missed. */
const TOLERANCE = 100;

/** Milliseconds between two steps of the load. */
const TICK = 5;

/** How a call ended for its caller. */
enum CallEnd {
  Whole = "whole",
  Refused = "refused",
  /** The connection closed without an answer or in the middle of it. */
  Broken = "broken",
}

interface ISentCall {
  readonly id: string;
  readonly handle: ProcessHandle;
  readonly sentAt: number;
  endedAt: number;
  end: CallEnd;
}

/** One stop of a process. */
export interface IStop {
  readonly fleet: EntryFleet;
  readonly handle: ProcessHandle;
  readonly random: SeededRandom;
  /** Milliseconds since SIGTERM. */
  readonly elapsed: () => number;
}

/** What happens while a process stops. */
export type StopTrouble = (stop: IStop) => Promise<void>;

/** What callers saw of the calls around the stops. */
export interface IRollingResult {
  readonly calls: number;
  /** Share of the calls with a whole answer, 0 to 1. */
  readonly whole: number;
  /** Calls that the stopping processes lost. */
  readonly lost: readonly string[];
  /** Milliseconds from SIGTERM to the exit of each process. */
  readonly stopTimes: readonly number[];
  /** The processes' output. */
  readonly output: string;
}

/** Plays one stop of each process; the trouble goes with each stop. */
export async function rollStops(
  seed: number,
  trouble: StopTrouble,
): Promise<IRollingResult> {
  await using fleet = new EntryFleet(ENGINES);
  await fleet.start(PROCESSES);
  const play = new RollingStops(fleet, new SeededRandom(seed));
  await play.run(trouble);
  return play.result;
}

class RollingStops {
  readonly #fleet: EntryFleet;
  readonly #random: SeededRandom;
  readonly #calls: ISentCall[] = [];
  readonly #open = new Set<Promise<void>>();
  readonly #signalledAt = new Map<ProcessHandle, number>();
  readonly #stopTimes: number[] = [];
  #isLoading = true;

  constructor(fleet: EntryFleet, random: SeededRandom) {
    this.#fleet = fleet;
    this.#random = random;
    for (const engine of fleet.engines) {
      engine.eventCount = STREAM_EVENTS;
    }
  }

  async run(trouble: StopTrouble): Promise<void> {
    const loading = this.#fleet.processes.map((_, index) => this.#load(index));
    for (const index of this.#fleet.processes.keys()) {
      await sleep(CALM_TIME);
      await this.#stop(index, trouble);
      await this.#fleet.restartProcess(index);
    }
    this.#isLoading = false;
    await Promise.all(loading);
    await Promise.all(this.#open);
  }

  get result(): IRollingResult {
    const around = this.#calls.filter((call) => this.#isAroundStop(call));
    const whole = around.filter(({ end }) => end === CallEnd.Whole).length;
    const lost = around.filter((call) => this.#isLost(call));
    return {
      calls: around.length,
      whole: whole / around.length,
      lost: lost.map((call) => this.#describe(call)),
      stopTimes: this.#stopTimes,
      output: [...this.#signalledAt.keys()]
        .map(({ output }) => output)
        .join("\n"),
    };
  }

  async #load(index: number): Promise<void> {
    const startedAt = performance.now();
    let sent = 0;
    while (this.#isLoading) {
      const due = (performance.now() - startedAt) / CALL_PERIOD;
      for (; sent < due; sent += 1) {
        this.#send(index, sent);
      }
      await sleep(TICK);
    }
  }

  #send(index: number, number: number): void {
    const handle = this.#fleet.processes[index]?.handle;
    if (handle !== undefined && !handle.hasExited) {
      const path = number % 2 === 0 ? Path.Stream : Path.Unsafe;
      const open = this.#call(handle, index, { path, number });
      this.#open.add(open);
      void open.finally(() => this.#open.delete(open));
    }
  }

  async #call(
    handle: ProcessHandle,
    index: number,
    { path, number }: { readonly path: Path; readonly number: number },
  ): Promise<void> {
    const id = `rolling-${index}-${number}`;
    const sentAt = performance.now();
    const call = { id, handle, sentAt, endedAt: 0, end: CallEnd.Broken };
    this.#calls.push(call);
    try {
      const answer = await this.#fleet.sendCall(index, path, { id });
      const isWhole = answer.status === 200 && isComplete(path, answer.text);
      call.end = answer.status === 200 ? CallEnd.Broken : CallEnd.Refused;
      call.end = isWhole ? CallEnd.Whole : call.end;
    } catch {
      // The connection was refused or closed, as the call's end says.
    }
    call.endedAt = performance.now();
  }

  async #stop(index: number, trouble: StopTrouble): Promise<void> {
    const handle = this.#fleet.processes[index]?.handle;
    if (handle === undefined) {
      return;
    }
    const signalledAt = performance.now();
    this.#signalledAt.set(handle, signalledAt);
    const elapsed = () => performance.now() - signalledAt;
    handle.signal("SIGTERM");
    const fleet = this.#fleet;
    const ended = trouble({ fleet, handle, random: this.#random, elapsed });
    while (!handle.hasExited && elapsed() < GRACE_TIME) {
      await sleep(TICK);
    }
    this.#stopTimes.push(elapsed());
    if (!handle.hasExited) {
      handle.signal("SIGKILL");
      await handle.waitForExit();
    }
    await ended;
  }

  #isAroundStop({ handle, sentAt, endedAt }: ISentCall): boolean {
    const signalledAt = this.#signalledAt.get(handle) ?? Infinity;
    return endedAt >= signalledAt && sentAt <= signalledAt + ADMISSION_TIME;
  }

  #isLost(call: ISentCall): boolean {
    const { id, end, sentAt, endedAt } = call;
    const took = endedAt - sentAt;
    const { engines, plainTargets } = this.#fleet;
    const hasTarget = [...engines, ...plainTargets].some((one) =>
      one.runs.includes(id),
    );
    const isBroken = end === CallEnd.Broken;
    const isTaken = hasTarget || took > ANSWER_TIME;
    const isOver = took >= DEADLINE - TOLERANCE;
    return isBroken && isTaken && !isOver && !this.#isExcused(call);
  }

  /** Whether a target was at work in the last sixth of the grace time. */
  #isExcused({ id, handle }: ISentCall): boolean {
    const signalledAt = this.#signalledAt.get(handle) ?? Infinity;
    const isAtWork = ({ runs, runEnds }: PlatformEngine) =>
      runs.includes(id) &&
      (runEnds.get(id) ?? Infinity) >= signalledAt + LAST_SIXTH;
    return this.#fleet.engines.some(isAtWork);
  }

  #describe({ id, handle, sentAt, endedAt }: ISentCall): string {
    const signalledAt = this.#signalledAt.get(handle) ?? 0;
    const sent = Math.round(sentAt - signalledAt);
    const ended = Math.round(endedAt - signalledAt);
    return `${id} at ${handle.name}: sent ${sent} ms, ended ${ended} ms`;
  }
}

function isComplete(path: Path, text: string): boolean {
  if (path !== Path.Stream) {
    return text === "done";
  }
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  return (
    ids.length === STREAM_EVENTS && ids.every((id, index) => id === index + 1)
  );
}
