/**
 * Processes that send calls to engines, some of which crash them, while engines
 * end by themselves, the lease holder is replaced, processes lose touch with it
 * and the store is away. Checks how many crashing calls reach engines, and which
 * parts are refused.
 */
import { QuarantineFleet, sendOf } from "./quarantine_fleet.ts";
import type { QuarantineProcess } from "./quarantine_fleet.ts";
import { SeededRandom } from "./seeded_random.ts";

const PROCESSES = 5;
const ENGINES = 30;
/** Engines of one domain. */
const DOMAIN_SIZE = 10;

/** Milliseconds. */
const STEP = 10;
const SOUND_PERIOD = 30;
const CRASHING_PERIOD = 160;
const BEGIN_TIME = 100;
const CRASH_DELAY = 60;
const RUN_TIME = 700;
const RESTART_TIME = 2_500;
const OWN_CRASH_PERIOD = 1_500;
const DOMAIN_CRASH_PERIOD = 9_000;
const DISTURBANCE_PERIOD = 4_000;
const LONGEST_DISTURBANCE = 2_500;

/** Parts of sound calls that only a few of them share. */
const RARE_PARTS = 60;

/**
 * The platform's rule, in crashes, milliseconds and calls; see CrashingCalls. A
 * process or store counts as undisturbed after the same time.
 */
const COUNTED_CRASHES = 5;
const SETTLING_TIME = 3_000;
const MAXIMUM_LATE = 3;

interface ISoakCall {
  readonly process: QuarantineProcess;
  readonly parts: readonly string[];
  readonly sentAt: number;
  readonly isRetry: boolean;
  beganAt: number | null;
}

interface ISoakEngine {
  index: number;
  starts: number;
  downUntil: number;
  calls: ISoakCall[];
}

/** One seeded run. */
export class QuarantineSoak {
  /** What broke a rule. */
  readonly findings: string[] = [];
  crashes = 0;
  readonly #fleet = new QuarantineFleet(PROCESSES);
  readonly #random: SeededRandom;
  readonly #crashing: readonly string[];
  readonly #engines: readonly ISoakEngine[];
  /** Times of the crashes under each crashing part. */
  readonly #crashTimes = new Map<string, number[]>();
  readonly #late = new Map<string, number>();
  /** When each process was last disturbed. */
  readonly #disturbedAt = new Map<QuarantineProcess, number>();
  #storeReturnsAt = 0;

  /** @param crashing - parts that crash engines */
  constructor(seed: number, crashing: readonly string[]) {
    this.#random = new SeededRandom(seed);
    this.#crashing = crashing;
    this.#engines = Array.from({ length: ENGINES }, (_, index) => {
      return { index, starts: 0, downUntil: 0, calls: [] };
    });
  }

  /** @param length - milliseconds; crashing calls come in its middle half */
  async run(length: number): Promise<void> {
    for (let at = 0; at < length; at += STEP) {
      const isEvery = (period: number) => at % period < STEP;
      if (isEvery(SOUND_PERIOD)) {
        this.#send(["system", this.#rarePart()], false);
      }
      const isCrashing = at > length / 4 && at < (3 * length) / 4;
      if (isCrashing && isEvery(CRASHING_PERIOD)) {
        const part = this.#pick(this.#crashing);
        this.#send(["system", part, this.#rarePart()], false);
      }
      if (isEvery(OWN_CRASH_PERIOD)) {
        this.#crash(this.#pick(this.#engines), null);
      }
      if (isEvery(DOMAIN_CRASH_PERIOD)) {
        this.#crashDomain();
      }
      if (isEvery(DISTURBANCE_PERIOD)) {
        this.#disturb();
      }
      this.#advanceEngines();
      await this.#fleet.advance(STEP);
    }
    this.#check();
  }

  get #now(): number {
    return this.#fleet.clock.now();
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random.next() * items.length)] as T;
  }

  #rarePart(): string {
    return `rare-${Math.floor(this.#random.next() * RARE_PARTS)}`;
  }

  #send(parts: readonly string[], isRetry: boolean): void {
    const process = this.#pick(this.#fleet.processes);
    const up = this.#engines.filter(({ downUntil }) => downUntil <= this.#now);
    if (up.length === 0 || process.refuses(...parts)) {
      return;
    }
    const engine = this.#pick(up);
    const sentAt = this.#now;
    engine.calls.push({ process, parts, sentAt, isRetry, beganAt: null });
    for (const part of parts.filter((one) => this.#crashing.includes(one))) {
      this.#recordArrival(part, process);
    }
  }

  #recordArrival(part: string, process: QuarantineProcess): void {
    const times = this.#crashTimes.get(part) ?? [];
    const counted = times[COUNTED_CRASHES - 1];
    const calm = Math.max(
      this.#storeReturnsAt,
      this.#disturbedAt.get(process) ?? 0,
    );
    const isInTouch = this.#now - calm > SETTLING_TIME || calm === 0;
    if (
      counted !== undefined &&
      this.#now > counted + SETTLING_TIME &&
      isInTouch
    ) {
      this.#late.set(part, (this.#late.get(part) ?? 0) + 1);
    }
  }

  #nameOf({ index, starts }: ISoakEngine): string {
    return `engine-${index}/${starts}`;
  }

  #advanceEngines(): void {
    const now = this.#now;
    for (const engine of this.#engines) {
      for (const call of engine.calls) {
        if (call.beganAt === null && now - call.sentAt >= BEGIN_TIME) {
          this.#begin(engine, call);
        }
      }
      const culprit = engine.calls.find(
        ({ beganAt, parts }) =>
          now - (beganAt ?? now) >= CRASH_DELAY &&
          parts.some((part) => this.#crashing.includes(part)),
      );
      if (culprit !== undefined) {
        this.#crash(engine, culprit);
      }
      engine.calls = engine.calls.filter(
        ({ beganAt }) => now - (beganAt ?? now) < RUN_TIME,
      );
    }
  }

  #begin(engine: ISoakEngine, call: ISoakCall): void {
    const { starts } = engine;
    call.beganAt = this.#now;
    const send = sendOf(this.#nameOf(engine), call.parts, call.beganAt);
    // The answer went on unless the engine has ended since.
    const isSound = () => engine.starts === starts;
    call.process.quarantine.recordBegin(send, isSound);
  }

  #crash(engine: ISoakEngine, culprit: ISoakCall | null): void {
    if (engine.downUntil > this.#now) {
      return;
    }
    this.crashes += 1;
    const name = this.#nameOf(engine);
    const { calls } = engine;
    engine.calls = [];
    engine.starts += 1;
    engine.downUntil = this.#now + RESTART_TIME;
    for (const part of culprit?.parts ?? []) {
      if (this.#crashing.includes(part)) {
        const times = this.#crashTimes.get(part) ?? [];
        this.#crashTimes.set(part, [...times, this.#now]);
      }
    }
    for (const { process, parts, beganAt, isRetry } of calls) {
      if (process.isAlive) {
        const send = sendOf(name, parts, beganAt);
        process.quarantine.recordBroken(send, isRetry);
        if (!isRetry) {
          this.#send(parts, true);
        }
      }
    }
  }

  #crashDomain(): void {
    const domain = Math.floor((this.#random.next() * ENGINES) / DOMAIN_SIZE);
    for (const engine of this.#engines) {
      if (Math.floor(engine.index / DOMAIN_SIZE) === domain) {
        this.#crash(engine, null);
      }
    }
  }

  #disturb(): void {
    const { clock, processes, store } = this.#fleet;
    const time = this.#random.next() * LONGEST_DISTURBANCE;
    const process = this.#pick(processes);
    switch (Math.floor(this.#random.next() * 4)) {
      case 0:
        this.#fleet.stopProcess(process);
        this.#disturbedAt.set(this.#fleet.startProcess(), this.#now);
        break;
      case 1:
        process.isConnected = false;
        this.#disturbedAt.set(process, this.#now + time);
        clock.after(time, () => (process.isConnected = true));
        break;
      case 2:
        store.isUnavailable = true;
        this.#storeReturnsAt = this.#now + time;
        clock.after(time, () => (store.isUnavailable = false));
        break;
      default:
        this.#fleet.withoutHolder(time);
    }
  }

  #check(): void {
    for (const [part, count] of this.#late) {
      if (count > MAXIMUM_LATE) {
        this.findings.push(`${part}: ${count} calls reached engines too late`);
      }
    }
    for (const { quarantine, name } of this.#fleet.processes) {
      const wrong = quarantine.entries
        .map(({ parts }) => parts)
        .filter((parts) => !parts.some((one) => this.#crashing.includes(one)));
      wrong.forEach((parts) =>
        this.findings.push(`${name} refuses ${parts.join(",")}`),
      );
    }
  }
}
