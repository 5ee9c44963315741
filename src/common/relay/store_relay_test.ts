import { expect } from "chai";
import fc from "fast-check";
import {
  Deployment,
  REAPPEAR_TIME,
  STEP,
} from "../../../test/support/relay_deployment.ts";

const SEED = 20261203;

/**
 * Milliseconds within which processes that reach the store must know a change.
 */
const CHANGE_BOUND = 2_000;

/** Milliseconds of an outage in which entries may expire. */
const OUTAGE_TIME = 2_500;

/** Milliseconds until a process counts as calm after an outage. */
const STABLE_TIME = 3_000;

describe("StoreRelay", () => {
  // Guards against store calls that grow with the number of processes: ten
  // processes, and one target that writes heartbeats.
  it("lets only one process ask the store", async () => {
    const deployment = new Deployment(10);
    const { store, processes } = deployment;
    store.put("a");
    await deployment.advance(3_000);
    const before = processes.map(({ link }) => link.calls);
    for (let second = 0; second < 20; second += 1) {
      store.put("a");
      await deployment.advance(1_000);
    }
    const calls = processes.map(
      ({ link }, at) => link.calls - (before[at] ?? 0),
    );
    const [holder = 0, ...others] = calls;
    expect(holder).to.be.above(40);
    others.forEach((count) => expect(count).to.equal(0));
    deployment.dispose();
  });

  it("distributes changes to all processes", async () => {
    const deployment = new Deployment(3);
    deployment.store.put("a");
    await deployment.advance(3_000);
    deployment.store.put("b");
    deployment.store.remove("a");
    await deployment.advance(1_000);
    for (const { names } of deployment.processes) {
      expect(names).to.deep.equal(["b"]);
    }
    deployment.dispose();
  });

  // Guards against calls sent to a target that has left, while the holder is
  // frozen or cut off from the store and the others use its update.
  for (const trouble of ["frozen", "cut off"]) {
    it(`asks the store when the holder is ${trouble}`, async () => {
      const deployment = new Deployment(3);
      const { store, processes } = deployment;
      store.put("a");
      store.put("b");
      await deployment.advance(3_000);
      if (trouble === "frozen") {
        deployment.mute.add(0);
      } else if (processes[0] !== undefined) {
        processes[0].link.isCut = true;
      }
      store.remove("a");
      await deployment.advance(CHANGE_BOUND - 2 * STEP);
      expect(processes[1]?.names).to.deep.equal(["b"]);
      expect(processes[2]?.names).to.deep.equal(["b"]);
      deployment.dispose();
    });
  }

  // Guards against keeping targets that have left: a process is cut off from
  // the store for a while and uses the holder's updates; much later it asks the
  // store again, and must not treat its old outage as one that has just ended.
  it("does not treat an old outage as a new one", async () => {
    const deployment = new Deployment(2);
    const { store, processes, mute } = deployment;
    const [, other] = processes;
    store.put("a");
    await deployment.advance(3_000);
    mute.add(0);
    if (other !== undefined) {
      other.link.isCut = true;
    }
    await deployment.advance(4_000);
    mute.delete(0);
    await deployment.advance(1_000);
    if (other !== undefined) {
      other.link.isCut = false;
    }
    await deployment.advance(5_000);
    mute.add(0);
    await deployment.advance(1_500);
    store.put("b");
    await deployment.advance(500);
    expect(other?.names).to.deep.equal(["a", "b"]);
    expect(other?.outages).to.equal(0);
    deployment.dispose();
  });

  // Guards against a target that has left and stays known for good, since the
  // holder keeps its entry after a failed watch and says nothing of its end.
  it("distributes removals that are put off", async () => {
    const deployment = new Deployment(3, REAPPEAR_TIME);
    const { store, processes } = deployment;
    store.put("a");
    store.put("b");
    await deployment.advance(3_000);
    processes.forEach(({ link }) => (link.isCut = true));
    await deployment.advance(OUTAGE_TIME);
    processes.forEach(({ link }) => (link.isCut = false));
    await deployment.advance(600);
    store.remove("a");
    await deployment.advance(700);
    expect(processes[0]?.names).to.deep.equal(["a", "b"]);
    await deployment.advance(CHANGE_BOUND + REAPPEAR_TIME);
    for (const { names } of processes) {
      expect(names).to.deep.equal(["b"]);
    }
    deployment.dispose();
  });

  // Guards against targets that get calls for long after they have left, since a
  // cut watch counts as an outage; and against live ones that are dropped at the
  // end of a real outage.
  it("keeps targets through outages, and drops them after cut watches", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(OUTAGE_STEP, { minLength: 1, maxLength: 12 }),
        async (steps) => {
          const play = new OutagePlay();
          await play.run(steps);
          expect(play.findings).to.deep.equal([]);
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against calls to a target that has left in calm: the platform shows no
  // heartbeats that change nothing else, which was taken for an outage.
  it("drops targets at once where heartbeats are not shown", async () => {
    const deployment = new Deployment(3, REAPPEAR_TIME);
    const { store, processes } = deployment;
    ["a", "b", "c"].forEach((name) => store.put(name));
    await deployment.advance(6_000);
    store.remove("a");
    await deployment.advance(CHANGE_BOUND - STEP);
    for (const { names } of processes) {
      expect(names).to.deep.equal(["b", "c"]);
    }
    deployment.dispose();
  });

  // Guards against calls to a target that has left: the holder alone was cut off
  // from the store, and all keep what has left around its return.
  it("drops targets that leave as a cut holder returns", async () => {
    const deployment = new Deployment(3, REAPPEAR_TIME);
    const [holder, ...others] = deployment.processes;
    for (const name of ["a", "b", "c", "d"]) {
      deployment.startTarget(name);
      await deployment.advance(300);
    }
    await deployment.advance(4_000);
    if (holder !== undefined) {
      holder.link.isCut = true;
      await deployment.advance(2_200);
      holder.link.isCut = false;
    }
    deployment.removeTarget("a");
    await deployment.advance(CHANGE_BOUND - STEP);
    for (const { names } of others) {
      expect(names).to.deep.equal(["b", "c", "d"]);
    }
    await deployment.advance(STABLE_TIME - CHANGE_BOUND);
    expect(holder?.names).to.deep.equal(["b", "c", "d"]);
    deployment.dispose();
  });

  // Guards against the same in other orders of cuts of single processes, holders
  // and real outages, in which no live target may be dropped.
  for (const isShown of [true, false]) {
    const name = isShown ? "shown" : "not shown";
    it(`judges removals by what any process has read, heartbeats ${name}`, async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(CUT_STEP, { minLength: 1, maxLength: 12 }),
          async (steps) => {
            const play = new OutagePlay(isShown);
            await play.run(steps);
            expect(play.findings).to.deep.equal([]);
          },
        ),
        { seed: SEED, numRuns: 100 },
      );
    });
  }

  // Guards against changes that arrive late or never, when cuts, freezes and
  // changes of the holder come in any order, also together.
  for (const reappearTime of [0, REAPPEAR_TIME]) {
    it(`brings each change in time if entries are kept for ${reappearTime} ms`, async () => {
      const step = fc.oneof(
        fc.record({ kind: fc.constant("put"), at: fc.nat(4) }),
        fc.record({ kind: fc.constant("remove"), at: fc.nat(4) }),
        fc.record({ kind: fc.constant("cut"), at: fc.nat(2) }),
        fc.record({ kind: fc.constant("mute"), at: fc.nat(2) }),
        fc.record({ kind: fc.constant("holder"), at: fc.nat(2) }),
        fc.record({ kind: fc.constant("wait"), at: fc.nat(30) }),
      );
      await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
          const deployment = new Deployment(3, reappearTime);
          await deployment.advance(1_000);
          for (const { kind, at } of steps) {
            await applyStep(deployment, kind, at);
          }
          await deployment.advance(CHANGE_BOUND + reappearTime);
          const { store, processes } = deployment;
          for (const { link, names } of processes) {
            if (!link.isCut) {
              expect(names).to.deep.equal(store.names);
            }
          }
          deployment.dispose();
        }),
        { seed: SEED, numRuns: 60 },
      );
    });
  }
});

/** What happens to the processes, in the order of the plays. */
type OutageStep = {
  readonly kind:
    | "cut"
    | "series"
    | "remove"
    | "holder"
    | "mute"
    | "outage"
    /** One process is cut off from the store, which serves on. */
    | "apart";
  readonly at: number;
  /** Milliseconds until the next step. */
  readonly wait: number;
};

const OUTAGE_STEP: fc.Arbitrary<OutageStep> = fc.record({
  kind: fc.constantFrom(
    ...(["cut", "series", "remove", "holder", "mute", "outage"] as const),
  ),
  at: fc.nat(3),
  wait: fc.nat(46).map((steps) => steps * STEP),
});

const CUT_STEP: fc.Arbitrary<OutageStep> = fc.record({
  kind: fc.constantFrom(
    ...(["apart", "apart", "remove", "holder", "mute", "outage"] as const),
  ),
  at: fc.nat(3),
  wait: fc.nat(46).map((steps) => steps * STEP),
});

/** Plays steps, and notes where targets are kept or dropped wrongly. */
class OutagePlay {
  readonly findings: string[] = [];
  readonly #deployment = new Deployment(3, REAPPEAR_TIME);
  /** Targets that were removed, and when. */
  readonly #removedAt = new Map<string, number>();
  /** Until when each process is cut off. */
  readonly #cutUntil = [0, 0, 0];
  #outageEndedAt = Number.NEGATIVE_INFINITY;
  #isAway = false;

  constructor(isShown = true) {
    this.#deployment.showsHeartbeats = isShown;
  }

  async run(steps: readonly OutageStep[]): Promise<void> {
    for (let target = 0; target < 4; target += 1) {
      this.#deployment.startTarget(`target-${target}`);
    }
    this.#deployment.startTarget("other");
    await this.#deployment.advance(4_000);
    for (const step of steps) {
      await this.#apply(step);
      await this.#advance(step.wait);
    }
    await this.#advance(STABLE_TIME + CHANGE_BOUND);
    this.#deployment.dispose();
  }

  async #apply({ kind, at, wait }: OutageStep): Promise<void> {
    const { processes, mute } = this.#deployment;
    const cut = at === 3 ? processes : processes.slice(at, at + 1);
    const name = `target-${at}`;
    if (kind === "remove" && !this.#removedAt.has(name)) {
      this.#removedAt.set(name, this.#deployment.clock.now());
      this.#deployment.removeTarget(name);
    } else if (kind === "cut") {
      cut.forEach(({ link }) => link.cutWatches());
    } else if (kind === "series") {
      for (let count = 0; count < 6; count += 1) {
        cut.forEach(({ link }) => link.cutWatches());
        await this.#advance(300 + wait / 4);
      }
    } else if (kind === "holder") {
      this.#deployment.holder = at % 3;
    } else if (kind === "mute") {
      mute.add(at % 3);
      await this.#advance(wait);
      mute.delete(at % 3);
    } else if (kind === "apart") {
      this.#cutUntil[at % 3] = this.#deployment.clock.now() + 300 + 2 * wait;
    } else if (kind === "outage") {
      await this.#playOutage(1_000 + 2 * wait);
    }
  }

  async #playOutage(duration: number): Promise<void> {
    this.#setAway(true);
    await this.#advance(duration);
    this.#setAway(false);
    this.#outageEndedAt = this.#deployment.clock.now();
  }

  #setAway(isAway: boolean): void {
    this.#isAway = isAway;
    this.#deployment.isStoreWritable = !isAway;
    this.#setLinks();
  }

  #setLinks(): void {
    const now = this.#deployment.clock.now();
    this.#deployment.processes.forEach(({ link }, index) => {
      link.isCut = this.#isAway || now < (this.#cutUntil[index] ?? 0);
    });
  }

  async #advance(duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += STEP) {
      await this.#deployment.advance(STEP);
      this.#setLinks();
      this.#check();
    }
  }

  #check(): void {
    const now = this.#deployment.clock.now();
    const { alive, processes } = this.#deployment;
    processes.forEach(({ names }, index) => {
      for (const name of alive.filter((one) => !names.includes(one))) {
        this.findings.push(`${now}: ${index} has dropped ${name}`);
      }
      const calmAt = (this.#cutUntil[index] ?? 0) + STABLE_TIME;
      const isOverdue = (name: string) =>
        now > calmAt && this.#isOverdue(name, now);
      for (const name of names.filter(isOverdue)) {
        this.findings.push(`${now}: ${index} still has ${name}`);
      }
    });
  }

  /** Whether no process may have a target any more. */
  #isOverdue(name: string, now: number): boolean {
    const removedAt = this.#removedAt.get(name) ?? Infinity;
    const calmAt = this.#outageEndedAt + STABLE_TIME;
    return !this.#isAway && now > Math.max(removedAt, calmAt) + CHANGE_BOUND;
  }
}

async function applyStep(
  deployment: Deployment,
  kind: string,
  at: number,
): Promise<void> {
  const { store, processes, mute } = deployment;
  const link = processes[at]?.link;
  if (kind === "put") {
    store.put(`target-${at}`);
  } else if (kind === "remove") {
    store.remove(`target-${at}`);
  } else if (kind === "cut" && link !== undefined) {
    link.isCut = !link.isCut;
  } else if (kind === "mute") {
    if (!mute.delete(at)) {
      mute.add(at);
    }
  } else if (kind === "holder") {
    deployment.holder = at;
  } else {
    await deployment.advance(at * STEP);
  }
}
