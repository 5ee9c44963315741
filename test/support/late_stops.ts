/**
 * Stops processes of a fleet beside a trouble that a seed chooses, while callers
 * go on using them until they are gone, and judges how each call ended.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { LinkMode } from "../../src/stand_ins/fault_proxy/fault_proxy.ts";
import { ENDLESS_PIECES } from "./endless_pieces.ts";
import { EntryFleet, Path } from "./entry_fleet.ts";
import type { IFleetProcess } from "./entry_fleet.ts";
import { PipeliningCaller } from "./pipelining_caller.ts";
import type { ProcessHandle } from "./process_handle.ts";
import { SeededRandom } from "./seeded_random.ts";

const PROCESSES = 3;
const ENGINES = 12;

/** Events of a stream of 0.8 s. */
const STREAM_EVENTS = 40;

/** Milliseconds between two calls to one process. */
const CALL_PERIOD = 60;

/** Of so many calls one is a pair that is sent ahead on a connection. */
const PAIR_SHARE = 6;

/** Milliseconds of the trouble before the signal. */
const TROUBLE_BEFORE = 2_000;

/** Milliseconds that plain calls run, at least and at most. */
const SHORTEST_RUN = 5;
const LONGEST_RUN = 6_500;

/** Milliseconds between two changes of these times. */
const CHANGE_PERIOD = 200;

/** Milliseconds within which two processes are stopped. */
const STOPS_APART = 2_000;

/** Milliseconds after SIGTERM at which a process is killed. */
const GRACE_TIME = 8_000;

/** A call sent later, and cut at its target's work at the end, is lost. */
const ADMISSION_TIME = 3_000;
const LAST_SIXTH = (GRACE_TIME * 5) / 6;

/** Deadline of each call, and by how much it may be missed, milliseconds. */
const DEADLINE = 8_000;
const TOLERANCE = 100;

/** Milliseconds; longer than the deadline, which ends the calls. */
const PLAIN_TIMEOUT = 20_000;

/** Milliseconds until a call that no target has got must be answered. */
const ANSWER_TIME = 500;

const TICK = 5;

/** What goes on beside a stop. */
export enum Trouble {
  /** Plain targets are slow and fast in turn. */
  SlowTargets = "slow_targets",
  /** The process that stops loses its links. */
  OwnLinks = "own_links",
  /** The other processes have lost theirs. */
  OtherLinks = "other_links",
  /** A target of each kind answers in pieces without end. */
  Flood = "flood",
  /** Another process is stopped as well. */
  SecondStop = "second_stop",
}

interface ISentCall {
  readonly id: string;
  readonly path: Path;
  readonly handle: ProcessHandle;
  readonly sentAt: number;
  endedAt: number;
  /** Null if the connection ended without an answer. */
  status: number | null;
  /** Whether a success was whole. */
  isWhole: boolean;
}

/** How the calls of a play ended. */
export interface ILateStopsResult {
  readonly troubles: readonly Trouble[];
  /** Calls by their status; 0 for a broken connection. */
  readonly statuses: ReadonlyMap<number, number>;
  /** Calls that ran, or were kept waiting, and got no whole answer. */
  readonly lost: readonly string[];
  /** Calls that ran twice, or ran and were answered as not run. */
  readonly misreported: readonly string[];
  /** Milliseconds from SIGTERM to the exit of each process. */
  readonly stopTimes: readonly number[];
}

/** Plays one stop of each process. */
export async function playLateStops(
  seed: number,
  troubles: readonly Trouble[] = Object.values(Trouble),
): Promise<ILateStopsResult> {
  await using fleet = new EntryFleet(ENGINES);
  fleet.plainTimeout = PLAIN_TIMEOUT;
  await fleet.start(PROCESSES);
  const play = new LateStops(fleet, new SeededRandom(seed));
  await play.run(troubles);
  return play.result;
}

class LateStops {
  readonly #fleet: EntryFleet;
  readonly #random: SeededRandom;
  readonly #calls: ISentCall[] = [];
  readonly #open = new Set<Promise<void>>();
  readonly #signalledAt = new Map<ProcessHandle, number>();
  /** When a process lost its links. */
  readonly #linksCutAt = new Map<ProcessHandle, number>();
  readonly #stopTimes: number[] = [];
  readonly #troubles: Trouble[] = [];
  #isLoading = true;

  constructor(fleet: EntryFleet, random: SeededRandom) {
    this.#fleet = fleet;
    this.#random = random;
    fleet.engines.forEach((engine) => (engine.eventCount = STREAM_EVENTS));
  }

  async run(troubles: readonly Trouble[]): Promise<void> {
    this.#chooseTroubles(troubles);
    const loading = this.#fleet.processes.map((_, index) => this.#load(index));
    for (const [index, trouble] of this.#troubles.entries()) {
      await this.#playStop(index, trouble);
    }
    this.#isLoading = false;
    await Promise.all([...loading, ...this.#open]);
  }

  get result(): ILateStopsResult {
    const statuses = new Map<number, number>();
    for (const { status } of this.#calls) {
      statuses.set(status ?? 0, (statuses.get(status ?? 0) ?? 0) + 1);
    }
    return {
      troubles: this.#troubles,
      statuses,
      lost: this.#calls
        .filter((call) => this.#isLost(call))
        .map((call) => this.#describe(call)),
      misreported: this.#calls
        .filter((call) => this.#isMisreported(call))
        .map((call) => this.#describe(call)),
      stopTimes: this.#stopTimes,
    };
  }

  /** Before the load begins, whose timing decides on the order of draws. */
  #chooseTroubles(troubles: readonly Trouble[]): void {
    const left = [...troubles];
    for (let stop = 0; stop < PROCESSES; stop += 1) {
      const next = Math.floor(this.#random.next() * left.length);
      const [trouble = Trouble.SlowTargets] = left.splice(next, 1);
      this.#troubles.push(trouble);
    }
  }

  async #playStop(index: number, trouble: Trouble): Promise<void> {
    let isOver = false;
    const troubled = this.#trouble(trouble, index, () => isOver);
    await sleep(TROUBLE_BEFORE);
    const stops = [this.#stop(index)];
    if (trouble === Trouble.SecondStop) {
      await sleep(this.#random.next() * STOPS_APART);
      stops.push(this.#stop((index + 1) % PROCESSES));
    }
    await Promise.all(stops);
    isOver = true;
    await troubled;
    for (const [other, { handle }] of this.#fleet.processes.entries()) {
      if (handle.hasExited) {
        await this.#fleet.restartProcess(other);
      } else {
        this.#fleet.setLinks(other, LinkMode.Pass);
      }
    }
  }

  async #stop(index: number): Promise<void> {
    const { handle } = this.#processAt(index);
    const signalledAt = performance.now();
    this.#signalledAt.set(handle, signalledAt);
    handle.signal("SIGTERM");
    const elapsed = () => performance.now() - signalledAt;
    while (!handle.hasExited && elapsed() < GRACE_TIME) {
      await sleep(TICK);
    }
    this.#stopTimes.push(Math.round(elapsed()));
    if (!handle.hasExited) {
      handle.signal("SIGKILL");
      await handle.waitForExit();
    }
  }

  async #trouble(
    trouble: Trouble,
    index: number,
    isOver: () => boolean,
  ): Promise<void> {
    const { plainTargets, engines } = this.#fleet;
    if (trouble === Trouble.OwnLinks) {
      const time = TROUBLE_BEFORE + ADMISSION_TIME;
      await sleep(this.#random.next() * time);
      this.#cutLinks(index);
    } else if (trouble === Trouble.OtherLinks) {
      for (const other of this.#fleet.processes.keys()) {
        if (other !== index) {
          this.#cutLinks(other);
        }
      }
    } else if (trouble === Trouble.Flood) {
      const [plain] = plainTargets;
      const engine = engines.find(({ isServing }) => isServing);
      const answer = ENDLESS_PIECES.chunks;
      if (plain !== undefined && engine !== undefined) {
        plain.pieces = answer;
        engine.pieces = { path: null, answer };
        await waitUntil(isOver);
        plain.pieces = null;
        engine.pieces = null;
      }
    }
    while (!isOver()) {
      for (const target of plainTargets) {
        const range = Math.log(LONGEST_RUN / SHORTEST_RUN);
        const factor = Math.exp(this.#random.next() * range);
        target.runTime = SHORTEST_RUN * factor;
      }
      await sleep(CHANGE_PERIOD);
    }
    plainTargets.forEach((target) => (target.runTime = 0));
  }

  #cutLinks(index: number): void {
    const isSilent = this.#random.next() < 1 / 2;
    const mode = isSilent ? LinkMode.Silent : LinkMode.Refuse;
    const { handle } = this.#processAt(index);
    this.#linksCutAt.set(handle, performance.now());
    this.#fleet.setLinks(index, mode);
  }

  async #load(index: number): Promise<void> {
    const startedAt = performance.now();
    let sent = 0;
    while (this.#isLoading) {
      const due = (performance.now() - startedAt) / CALL_PERIOD;
      for (; sent < due; sent += 1) {
        const process = this.#processAt(index);
        if (!process.handle.hasExited) {
          const open = this.#send(process, index, sent);
          this.#open.add(open);
          void open.finally(() => this.#open.delete(open));
        }
      }
      await sleep(TICK);
    }
  }

  #send(process: IFleetProcess, index: number, number: number): Promise<void> {
    const id = `late-${index}-${number}`;
    if (number % PAIR_SHARE === 0) {
      return this.#sendPair(process, id);
    }
    const paths = [Path.Unsafe, Path.Stream, Path.Safe];
    const path = paths[number % paths.length] ?? Path.Unsafe;
    return this.#sendOne(process, index, { id, path });
  }

  async #sendOne(
    { handle }: IFleetProcess,
    index: number,
    { id, path }: { readonly id: string; readonly path: Path },
  ): Promise<void> {
    const call = this.#record(handle, id, path);
    try {
      const answer = await this.#fleet.sendCall(index, path, { id });
      call.status = answer.status;
      call.isWhole = isComplete(path, answer.text);
    } catch {
      // The connection was refused or closed, as the call's status says.
    }
    call.endedAt = performance.now();
  }

  /** Two calls on one connection, the second behind the first. */
  async #sendPair(process: IFleetProcess, id: string): Promise<void> {
    using caller = new PipeliningCaller(process.callers);
    const body = this.#random.next() < 1 / 2 ? "" : "text";
    const gap = this.#random.next() * CALL_PERIOD;
    const calls: ISentCall[] = [];
    for (const path of [Path.Unsafe, Path.Safe]) {
      const call = this.#record(process.handle, `${id}-${calls.length}`, path);
      calls.push(call);
      caller.send({ id: call.id, path, body });
      await sleep(gap);
    }
    const isAnswered = () => caller.statuses.length === calls.length;
    const deadline = performance.now() + DEADLINE;
    let isClosed = false;
    void caller.closed.then(() => (isClosed = true));
    await waitUntil(
      () => isAnswered() || isClosed || performance.now() > deadline,
    );
    for (const [index, call] of calls.entries()) {
      call.status = caller.statuses[index] ?? null;
      call.isWhole = true;
      call.endedAt = performance.now();
    }
  }

  #record(handle: ProcessHandle, id: string, path: Path): ISentCall {
    const sentAt = performance.now();
    const call: ISentCall = {
      ...{ id, path, handle, sentAt, endedAt: sentAt },
      status: null,
      isWhole: false,
    };
    this.#calls.push(call);
    return call;
  }

  #runsOf(id: string): number {
    const { plainTargets, engines } = this.#fleet;
    const targets = [...plainTargets, ...engines];
    const runs = targets.flatMap((target) => target.runs);
    return runs.filter((run) => run === id).length;
  }

  #isLost(call: ISentCall): boolean {
    const isAnswered =
      call.status !== null && (call.status !== 200 || call.isWhole);
    const took = call.endedAt - call.sentAt;
    const isOver = took >= DEADLINE - TOLERANCE;
    const isTaken = this.#runsOf(call.id) > 0 || took > ANSWER_TIME;
    const isExcused = this.#isExcused(call) || this.#isBrokenOff(call);
    return !isAnswered && !isOver && isTaken && !isExcused;
  }

  /** Whether its engine was at work in the last sixth of the grace time. */
  #isExcused({ id, handle, sentAt }: ISentCall): boolean {
    const signalledAt = this.#signalledAt.get(handle) ?? Infinity;
    const isAtWork = this.#fleet.engines.some(
      ({ runs, runEnds }) =>
        runs.includes(id) &&
        (runEnds.get(id) ?? Infinity) >= signalledAt + LAST_SIXTH,
    );
    return isAtWork && sentAt <= signalledAt + ADMISSION_TIME;
  }

  /**
   * Whether the loss of the links broke off the stream's own connection. Another
   * path may not be known then, as after a start of the other processes.
   */
  #isBrokenOff({ path, handle, sentAt, endedAt }: ISentCall): boolean {
    const cutAt = this.#linksCutAt.get(handle) ?? Infinity;
    return path === Path.Stream && sentAt <= cutAt && cutAt <= endedAt;
  }

  #isMisreported({ id, path, status }: ISentCall): boolean {
    const runs = path === Path.Unsafe ? this.#runsOf(id) : 0;
    return runs > 1 || (runs > 0 && status === 503);
  }

  #describe({ id, path, handle, sentAt, endedAt, status }: ISentCall): string {
    const signalledAt = this.#signalledAt.get(handle) ?? 0;
    const sent = Math.round(sentAt - signalledAt);
    const ended = Math.round(endedAt - signalledAt);
    const times = `sent ${sent} ms, ended ${ended} ms`;
    return `${id} ${path} at ${handle.name}: ${times}, status ${status}`;
  }

  #processAt(index: number): IFleetProcess {
    const process = this.#fleet.processes[index];
    if (process === undefined) {
      throw new Error(`there is no process ${index}`);
    }
    return process;
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(TICK);
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
