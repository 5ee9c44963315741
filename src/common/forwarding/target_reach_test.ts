import { expect } from "chai";
import {
  SERVICE,
  settle,
  targetsOf,
} from "../../../test/support/forwarding_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import { TargetReach } from "./target_reach.ts";

/** Milliseconds after which a path that is back must be used again. */
const RETURN_TIME = 1_500;

class Harness {
  readonly clock = new ManualClock();
  readonly targets = targetsOf(["one", "two", "three"], 4);
  /** Targets that answer probes. */
  reachable = new Set<string>();
  readonly probed: string[] = [];
  /** Milliseconds until a probe is decided. */
  answerTime = 0;
  readonly lost: string[] = [];
  readonly reach: TargetReach;

  constructor(seed = 20261203) {
    this.reach = new TargetReach({
      prober: {
        probe: ({ id }) => {
          this.probed.push(id);
          return this.answerTime === 0
            ? Promise.resolve(this.reachable.has(id))
            : this.#answerLate(id);
        },
      },
      readyTargets: () => this.targets,
      clock: this.clock,
      random: new SeededRandom(seed),
      log: new RecordingLog(),
      zone: "one",
      onLost: (service) => this.lost.push(service),
    });
  }

  async fail(...targets: readonly string[]): Promise<void> {
    targets.forEach((id) => this.reach.recordNoAnswer(SERVICE, id));
    await settle();
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.clock.advance(50);
      await settle();
    }
  }

  #answerLate(id: string): Promise<boolean> {
    return new Promise((resolve) => {
      this.clock.after(this.answerTime, () => resolve(this.reachable.has(id)));
    });
  }

  reachAll(): void {
    this.targets.forEach(({ id }) => this.reachable.add(id));
  }

  get isOutOfReach(): boolean {
    return this.reach.isOutOfReach(SERVICE);
  }
}

describe("the reach of targets", () => {
  // Guards against a cut that is noticed late: two targets without an answer
  // are enough to ask others.
  it("is lost when no target answers, in any zone", async () => {
    const harness = new Harness();
    await harness.fail("one-0", "two-1");
    expect(harness.isOutOfReach).to.equal(true);
    expect(harness.lost).to.deep.equal([SERVICE]);
    const zones = new Set(harness.probed.map((id) => id.split("-")[0]));
    expect([...zones].sort()).to.deep.equal(["one", "three", "two"]);
  });

  // Guards against calls that take a detour for targets that have failed
  // themselves: a lost group or domain is not the process's own path.
  it("is kept when targets fail while others answer probes", async () => {
    const harness = new Harness();
    harness.reachAll();
    ["one-0", "one-1", "one-2"].forEach((id) => harness.reachable.delete(id));
    await harness.fail("one-0", "one-1", "one-2");
    expect(harness.isOutOfReach).to.equal(false);
  });

  // Guards against the same for a whole zone that is cut off.
  it("is kept when only targets of other zones are silent", async () => {
    const harness = new Harness();
    harness.reachable = new Set(["one-0", "one-1", "one-2", "one-3"]);
    await harness.fail("two-0", "two-1", "three-0", "three-1");
    expect(harness.isOutOfReach).to.equal(false);
  });

  // Guards against probes for each failure of a large deployment on a bad day.
  it("is not probed when more targets answer than fail", async () => {
    const harness = new Harness();
    await harness.fail("one-0");
    ["two-0", "two-1", "three-0"].forEach((id) =>
      harness.reach.recordAnswer(SERVICE, id),
    );
    await harness.fail("one-1");
    expect(harness.probed).to.deep.equal([]);
  });

  // Guards against one silent target, or targets silent for a second each at
  // different times, that count as a common failure.
  it("is not doubted for failures far apart", async () => {
    const harness = new Harness();
    await harness.fail("one-0");
    await harness.advance(2_000);
    await harness.fail("two-0");
    expect(harness.probed).to.deep.equal([]);
  });

  // Guards against targets that are only slow and get slower by probes.
  it("is probed less often while surveys find the targets in reach", async () => {
    const harness = new Harness();
    harness.reachAll();
    for (let passed = 0; passed < 6_000; passed += 50) {
      await harness.fail("one-0", "two-0", "three-0");
      await harness.advance(50);
    }
    const perSurvey = 6;
    expect(harness.probed.length).to.be.at.most(7 * perSurvey);
  });

  // Guards against a process that flaps between both paths while a single
  // target is in reach.
  it("is not regained by one target that answers", async () => {
    const harness = new Harness();
    await harness.fail("one-0", "two-0");
    harness.reachable.add("one-0");
    await harness.advance(10_000);
    expect(harness.isOutOfReach).to.equal(true);
  });

  // Guards against a detour that is kept after the cut.
  it("is regained soon after targets answer again", async () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const harness = new Harness(seed);
      await harness.fail("one-0", "two-0");
      await harness.advance(3_000);
      harness.reachAll();
      await harness.advance(RETURN_TIME);
      expect(harness.isOutOfReach, `seed ${seed}`).to.equal(false);
    }
  });

  // Guards against a process without processor time that takes its own lag for
  // lost links: forwarding its calls adds to the load of all.
  it("is kept by a process that was paused while it probed", async () => {
    const paused = new Harness();
    paused.answerTime = 300;
    await paused.fail("one-0", "two-0");
    paused.clock.pause(300);
    await settle();
    expect(paused.isOutOfReach).to.equal(false);
    const running = new Harness();
    running.answerTime = 300;
    await running.fail("one-0", "two-0");
    await running.advance(300);
    expect(running.isOutOfReach).to.equal(true);
  });

  // Guards against calls that wait for a decision and are forgotten.
  it("calls back those that wait for the decision", async () => {
    const harness = new Harness();
    let decisions = 0;
    const wait = () =>
      harness.reach.waitForDecision(SERVICE, () => (decisions += 1));
    expect(wait()).to.equal(false);
    harness.reach.recordNoAnswer(SERVICE, "one-0");
    harness.reach.recordNoAnswer(SERVICE, "two-0");
    expect(wait()).to.equal(true);
    await settle();
    expect(decisions).to.equal(1);
  });

  // Guards against a process that takes its own broken links for the silence
  // of a target, as long as one of the others still answers it.
  it("is confirmed only when most targets answer", async () => {
    const harness = new Harness();
    expect(await harness.reach.confirm(SERVICE)).to.equal(false);
    const partial = new Harness();
    partial.reachable = new Set(["one-0", "one-1", "one-2", "one-3"]);
    expect(await partial.reach.confirm(SERVICE)).to.equal(false);
    const whole = new Harness();
    whole.reachAll();
    expect(await whole.reach.confirm(SERVICE)).to.equal(true);
  });
});
