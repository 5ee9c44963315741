/**
 * Removes the entries of targets that serve on, while the connections of
 * processes to the store break, and judges which calls reach them too late.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryFleet, Path } from "./entry_fleet.ts";
import { LinkMode } from "../../src/stand_ins/fault_proxy/fault_proxy.ts";
import { TargetHeartbeats } from "./target_heartbeats.ts";
import { waitFor } from "./process_handle.ts";

const PROCESSES = 3;

/** Milliseconds in which calls may still reach a target that was removed. */
const DRAIN_TIME = 2_000;

/** Milliseconds until a process counts as calm after a disruption of it. */
const STABLE_TIME = 3_000;

/** Milliseconds of load before the disruption, and after the removal. */
const CALM_TIME = 2_500;
const WATCHED_TIME = 6_000;

/** Milliseconds between two outages of the store. */
const PAUSE_BETWEEN_OUTAGES = 1_000;

/** Milliseconds for which the first watch is awaited. */
const LONGEST_WAIT = 3_000;

/** Milliseconds between two calls of each path to one process. */
const CALL_PERIOD = 60;

/** How the lease holder is disrupted besides. */
export enum HolderTrouble {
  None = "none",
  Killed = "killed",
  Frozen = "frozen",
}

/** Whose connections to the store break. */
export enum CutProcesses {
  None = "none",
  Holder = "holder",
  Others = "others",
  All = "all",
}

/** What is played. */
export interface ILeavingPlan {
  readonly cut: CutProcesses;
  /** Milliseconds from the first cut until the targets leave. */
  readonly moment: number;
  /** Milliseconds between two cuts; null for one cut. */
  readonly period: number | null;
  /** Milliseconds for which each cut also resets new connections. */
  readonly duration: number;
  readonly holder: HolderTrouble;
}

/** Processes lose their paths to the store, which serves all others. */
export interface ICutOffPlan {
  readonly cut: CutProcesses;
  /** What their links do meanwhile. */
  readonly mode: LinkMode;
  /** Milliseconds of the cut. */
  readonly duration: number;
  /** Milliseconds from its end until the targets leave; negative: before it. */
  readonly moment: number;
}

/** An outage of the store, or several. */
export interface IOutagePlan {
  /** What the links of all processes to the store do meanwhile. */
  readonly mode: LinkMode;
  /** Milliseconds added in each direction meanwhile. */
  readonly delay: number;
  /** Milliseconds of each outage. */
  readonly durations: readonly number[];
}

/** What the targets and the callers saw. */
export interface ILeavingResult {
  /** Calls that reached a target too late, by what is known of them. */
  readonly late: readonly string[];
  /** Calls that were not answered with success, by calm processes. */
  readonly refused: readonly string[];
  readonly calls: number;
  /** The processes' output. */
  readonly output: string;
}

interface IAnsweredCall {
  readonly id: string;
  readonly index: number;
  readonly sentAt: number;
  /** 0 for a connection that closed without an answer. */
  readonly status: number;
}

/** A fleet under load whose targets write heartbeats. */
export class LeavingTargets implements AsyncDisposable {
  readonly fleet = new EntryFleet();
  readonly #calls: IAnsweredCall[] = [];
  /** Until when a process counts as disrupted. */
  readonly #disruptedUntil = new Map<number, number>();
  /** Targets that have left, and when. */
  readonly #leftAt = new Map<string, number>();
  #heartbeats: TargetHeartbeats | null = null;
  #outageEndedAt = Number.POSITIVE_INFINITY;
  #isLoading = true;
  #loads: readonly Promise<void>[] = [];

  async start(): Promise<void> {
    await this.fleet.start(PROCESSES);
    const ids = this.#targets.map(({ id }) => id);
    this.#heartbeats = new TargetHeartbeats(this.fleet.store, ids);
    const [holder, ...others] = this.fleet.processes;
    await waitFor("the others use the holder's updates", () =>
      others.every(({ handle }) => handle.output.includes("relay_heard")),
    );
    if (!holder?.handle.output.includes("event=lease_acquired")) {
      throw new Error("the first process does not hold the lease");
    }
    this.#loads = this.fleet.processes.map((_, index) => this.#load(index));
    await sleep(CALM_TIME);
  }

  /** Plays one plan, and watches the targets that have left. */
  async play(plan: ILeavingPlan): Promise<void> {
    const indexes = this.#indexesOf(plan.cut);
    /** Processes whose next watch is cut off. */
    const waiting = new Set<number>();
    let nextCut = performance.now();
    /** When the first watch was cut off, or that is no longer awaited. */
    let cutAt = indexes.length === 0 ? nextCut : nextCut + LONGEST_WAIT;
    this.#disruptHolder(plan.holder);
    while (performance.now() - cutAt < plan.moment + WATCHED_TIME) {
      const now = performance.now();
      if (now >= nextCut) {
        nextCut = plan.period === null ? Infinity : nextCut + plan.period;
        indexes.forEach((index) => waiting.add(index));
      }
      for (const index of waiting) {
        if (this.#cutWatch(index, plan.duration)) {
          waiting.delete(index);
          cutAt = Math.min(cutAt, now);
        }
      }
      if (now - cutAt >= plan.moment && this.#leftAt.size === 0) {
        this.leave();
      }
      await sleep(5);
    }
  }

  /** Cuts processes off from the store, and watches the targets that leave. */
  async playCutOff(plan: ICutOffPlan): Promise<void> {
    const { cut, mode, duration, moment } = plan;
    const indexes = this.#indexesOf(cut);
    const returnsAt = performance.now() + duration;
    const endsAt = returnsAt + Math.max(0, moment) + WATCHED_TIME;
    indexes.forEach((index) =>
      this.#disruptedUntil.set(index, returnsAt + STABLE_TIME),
    );
    this.#setLinkModes(indexes, mode);
    let isCut = true;
    while (performance.now() < endsAt) {
      const now = performance.now();
      if (isCut && now >= returnsAt) {
        isCut = false;
        this.#setLinkModes(indexes, LinkMode.Pass);
      }
      if (now >= returnsAt + moment && this.#leftAt.size === 0) {
        this.leave();
      }
      await sleep(5);
    }
  }

  #setLinkModes(indexes: readonly number[], mode: LinkMode): void {
    indexes.forEach((index) =>
      this.fleet.processes[index]?.storeLink.setMode(mode),
    );
  }

  /** Removes the entries of a plain target and of a head, which serve on. */
  leave(): void {
    const plain = this.fleet.plainTargets[0];
    const head = this.fleet.engines.find(({ isServing }) => isServing);
    for (const target of [plain, head]) {
      if (target !== undefined) {
        this.#heartbeats?.forget(target.id);
        target.leaveUnannounced();
        this.#leftAt.set(target.id, performance.now());
      }
    }
  }

  /** Takes the store away from targets and processes, once or repeatedly. */
  async playOutages({ mode, delay, durations }: IOutagePlan): Promise<void> {
    const links = this.fleet.processes.map(({ storeLink }) => storeLink);
    for (const duration of durations) {
      this.#setStoreWritable(false);
      links.forEach((link) => link.setMode(mode, delay));
      await sleep(duration);
      links.forEach((link) => link.setMode(LinkMode.Pass));
      this.#setStoreWritable(true);
      this.#outageEndedAt = performance.now();
      await sleep(PAUSE_BETWEEN_OUTAGES);
    }
    await sleep(STABLE_TIME + WATCHED_TIME);
  }

  /** A target serves on, but its entry expires and does not return. */
  silence(id: string): void {
    this.#heartbeats?.silence(id);
  }

  #setStoreWritable(isWritable: boolean): void {
    if (this.#heartbeats !== null) {
      this.#heartbeats.isStoreWritable = isWritable;
    }
  }

  async end(): Promise<ILeavingResult> {
    this.#isLoading = false;
    await Promise.all(this.#loads);
    const refused = this.#calls.filter(
      ({ status, index, sentAt }) =>
        status !== 200 && !this.#isDisrupted(index, sentAt),
    );
    return {
      late: this.#lateCalls(),
      refused: refused.map(({ id, status }) => `${id} ${status}`),
      calls: this.#calls.length,
      output: this.fleet.processes
        .map(({ handle }) => handle.output)
        .join("\n"),
    };
  }

  /** Calls that reached a target although its entry did not return. */
  lateCallsAfterOutage(id: string): readonly string[] {
    const boundAt = this.#outageEndedAt + STABLE_TIME + DRAIN_TIME;
    const target = this.#targets.find((one) => one.id === id);
    return (target?.timedArrivals ?? [])
      .filter(({ at }) => at > boundAt)
      .map((call) => `${call.id} at ${Math.round(call.at - boundAt)}`);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isLoading = false;
    this.#heartbeats?.[Symbol.dispose]();
    await Promise.allSettled(this.#loads);
    await this.fleet[Symbol.asyncDispose]();
  }

  get #targets() {
    return [...this.fleet.engines, ...this.fleet.plainTargets];
  }

  #indexesOf(cut: CutProcesses): readonly number[] {
    const all = [...this.fleet.processes.keys()];
    const isCut = {
      [CutProcesses.None]: () => false,
      [CutProcesses.Holder]: (index: number) => index === 0,
      [CutProcesses.Others]: (index: number) => index > 0,
      [CutProcesses.All]: () => true,
    };
    return all.filter(isCut[cut]);
  }

  /** Returns whether a watch of the targets waited, and was cut off. */
  #cutWatch(index: number, duration: number): boolean {
    const process = this.fleet.processes[index];
    const address = process?.storeAddress ?? "";
    if (this.fleet.store.cutWatches(address, "servers") === 0) {
      return false;
    }
    if (duration > 0) {
      process?.storeLink.setMode(LinkMode.Cut);
      setTimeout(() => process?.storeLink.setMode(LinkMode.Pass), duration);
    }
    return true;
  }

  #disruptHolder(trouble: HolderTrouble): void {
    const holder = this.fleet.processes[0]?.handle;
    if (trouble === HolderTrouble.Killed) {
      this.#disruptedUntil.set(0, Infinity);
      holder?.signal("SIGKILL");
    } else if (trouble === HolderTrouble.Frozen) {
      const until = performance.now() + STABLE_TIME;
      this.#disruptedUntil.set(0, until + STABLE_TIME);
      holder?.signal("SIGSTOP");
      setTimeout(() => holder?.signal("SIGCONT"), STABLE_TIME);
    }
  }

  #isDisrupted(index: number, at: number): boolean {
    return at < (this.#disruptedUntil.get(index) ?? -Infinity);
  }

  #lateCalls(): readonly string[] {
    return [...this.#leftAt].flatMap(([id, leftAt]) => {
      const arrivals =
        this.#targets.find((one) => one.id === id)?.timedArrivals ?? [];
      return arrivals
        .filter(({ at }) => at > leftAt + DRAIN_TIME)
        .filter(({ id: call, at }) => !this.#isDisrupted(indexOf(call), at))
        .map((one) => `${id}: ${one.id} after ${Math.round(one.at - leftAt)}`);
    });
  }

  async #load(index: number): Promise<void> {
    const open = new Set<Promise<void>>();
    let sent = 0;
    while (this.#isLoading) {
      for (const path of [Path.Safe, Path.Stream]) {
        sent += 1;
        const call = this.#call(index, path, `leaving-${index}-${sent}`);
        open.add(call);
        void call.finally(() => open.delete(call));
      }
      await sleep(CALL_PERIOD);
    }
    await Promise.all(open);
  }

  async #call(index: number, path: Path, id: string): Promise<void> {
    const sentAt = performance.now();
    const status = await this.fleet
      .sendCall(index, path, { id })
      .then((answer) => answer.status)
      .catch(() => 0);
    this.#calls.push({ id, index, sentAt, status });
  }
}

/** The process that took a call. */
function indexOf(call: string): number {
  return Number(call.split("-")[1] ?? -1);
}
