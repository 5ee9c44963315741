/** Engines and lease holders that come and go while groups are managed. */
import { TestDeployment, TestProcess } from "./fleet_deployment.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Milliseconds between two steps, in each of which something may happen. */
const STEP = 100;

/** How often each kind of event happens. */
export interface ISoakChances {
  /** Chances of one step. */
  readonly cut: number;
  readonly drop: number;
  readonly kill: number;
  readonly late: number;
  readonly demand: number;
  /** Share of the orders that are late while some are. */
  readonly lateShare: number;
}

const USUAL_CHANCES: ISoakChances = {
  cut: 0.06,
  drop: 0.06,
  kill: 0.025,
  late: 0.02,
  demand: 0.05,
  lateShare: 0.4,
};

/** More engines out of reach, holders that end, and late orders. */
export const HARDER_CHANCES: ISoakChances = {
  cut: 0.09,
  drop: 0.06,
  kill: 0.04,
  late: 0.06,
  demand: 0.05,
  lateShare: 0.6,
};

/** Engines that may be out of reach or not listed at a time. */
const MAXIMUM_OUT = 4;

/** Milliseconds that an engine is out, at least and at most. */
const OUT_TIME = { least: 2_000, most: 12_000 };

/** Milliseconds from the loss of an engine until the platform drops it. */
const DROP_TIME = { least: 400, most: 4_000 };

/** Milliseconds during which orders may be late, and by how much they are. */
const LATE_SPAN = 4_000;
const LATE_BY = { least: 2_000, most: 12_000 };

/** Runs one seed. */
export class MembershipSoak {
  readonly deployment = new TestDeployment();
  readonly #random: SeededRandom;
  readonly #out = new Set<string>();
  readonly #unlisted = new Set<string>();
  #processes: TestProcess[] = [];
  #started = 0;
  readonly #chances: ISoakChances;

  constructor(seed: number, chances = USUAL_CHANCES) {
    this.#random = new SeededRandom(seed);
    this.#chances = chances;
  }

  /** Runs for some time; returns joins that took a member from an open head. */
  async run(milliseconds: number): Promise<readonly string[]> {
    this.#startProcess();
    this.#startProcess();
    await this.deployment.advance(4_000);
    for (let passed = 0; passed < milliseconds; passed += STEP) {
      this.#step();
      await this.deployment.advance(STEP);
    }
    this.#processes.forEach(({ coordinator }) => coordinator.dispose());
    return this.deployment.engines.taken;
  }

  #step(): void {
    if (this.#happens(this.#chances.cut)) {
      this.#loseEngine({ isSilent: true });
    }
    if (this.#happens(this.#chances.drop)) {
      this.#loseEngine({ isSilent: false });
    }
    if (this.#happens(this.#chances.kill)) {
      this.#killHolder();
    }
    if (this.#happens(this.#chances.late)) {
      this.#delayOrders();
    }
    if (this.#happens(this.#chances.demand)) {
      const groups = { large: this.#between({ least: 0, most: 3 }), small: 1 };
      for (const process of this.#processes) {
        process.demand = Object.entries(groups).map(([model, count]) => ({
          service: "summaries",
          model,
          groups: count,
          waiting: 0,
        }));
      }
    }
  }

  /** Cuts an engine off from the platform, and from all processes if silent. */
  #loseEngine({ isSilent }: { readonly isSilent: boolean }): void {
    const { clock, engines } = this.deployment;
    const index = Math.floor(this.#random.next() * 10);
    const id = `engine-${index}`;
    if (this.#out.has(id) || this.#out.size >= MAXIMUM_OUT) {
      return;
    }
    this.#out.add(id);
    if (isSilent) {
      engines.dead.add(id);
    }
    clock.after(this.#between(DROP_TIME), () => {
      if (this.#out.has(id)) {
        this.#unlisted.add(id);
        this.#processes.forEach((process) => process.removeEngine(id));
      }
    });
    clock.after(this.#between(OUT_TIME), () => {
      this.#out.delete(id);
      this.#unlisted.delete(id);
      engines.dead.delete(id);
      this.#processes.forEach((process) => process.addEngine(id));
    });
  }

  #killHolder(): void {
    const holders = this.#processes.filter(
      ({ coordinator }) => coordinator.isHolder,
    );
    for (const { coordinator } of holders) {
      coordinator.dispose();
      this.deployment.disconnect(coordinator);
    }
    this.#processes = this.#processes.filter((one) => !holders.includes(one));
    this.#startProcess();
  }

  #startProcess(): void {
    this.#started += 1;
    const process = new TestProcess(
      this.deployment,
      `10.0.0.${this.#started}:1`,
    );
    process.hasCalls = this.#started > 2;
    this.#unlisted.forEach((id) => process.removeEngine(id));
    this.#processes.push(process);
    process.coordinator.start();
  }

  #delayOrders(): void {
    const { clock, engines } = this.deployment;
    engines.delayOf = () =>
      this.#happens(this.#chances.lateShare) ? this.#between(LATE_BY) : null;
    clock.after(LATE_SPAN, () => {
      engines.delayOf = () => null;
    });
  }

  #happens(chance: number): boolean {
    return this.#random.next() < chance;
  }

  #between(range: { readonly least: number; readonly most: number }): number {
    return range.least + this.#random.next() * (range.most - range.least);
  }
}
