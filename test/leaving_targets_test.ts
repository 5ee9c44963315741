/** Targets whose entries are removed, or expire, beside trouble of the store. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import {
  CutProcesses,
  HolderTrouble,
  LeavingTargets,
} from "./support/leaving_targets.ts";
import type {
  ICutOffPlan,
  ILeavingPlan,
  IOutagePlan,
} from "./support/leaving_targets.ts";
import { SeededRandom } from "./support/seeded_random.ts";

/** First seed of the plans; `LEAVING_TARGETS_SEED` names another one. */
const SEED = Number(process.env.LEAVING_TARGETS_SEED ?? 20261204);

/** Plans that are played; `LEAVING_TARGETS_PLANS` names another number. */
const PLANS = Number(process.env.LEAVING_TARGETS_PLANS ?? 2);

/** Milliseconds for all plans of a test. */
const TIME_LIMIT = 60_000;

/** Milliseconds from the first cut until the targets leave, at most. */
const LATEST_MOMENT = 2_300;

/** Milliseconds between two cuts. */
const SHORTEST_PERIOD = 300;
const LONGEST_PERIOD = 2_000;

/** Milliseconds for which a cut may reset new connections too. */
const LONGEST_CUT = 150;

/** Milliseconds for which a process is cut off from the store. */
const SHORTEST_CUT_OFF = 300;
const LONGEST_CUT_OFF = 6_000;

/** Milliseconds from the end of the cut until the targets leave. */
const EARLIEST_LEAVE = -2_000;
const LATEST_LEAVE = 1_500;

/** Milliseconds of the outages, and of those in a series. */
const OUTAGE = 6_000;
const SHORT_OUTAGES = [3_000, 4_000, 3_000];

/** Milliseconds by which a slow store delays each direction. */
const SLOW_DELAY = 900;

function planOf(seed: number): ILeavingPlan {
  const random = new SeededRandom(seed);
  const pick = <T>(values: readonly T[], fallback: T): T =>
    values[Math.floor(random.next() * values.length)] ?? fallback;
  const range = LONGEST_PERIOD - SHORTEST_PERIOD;
  const isSeries = random.next() < 0.5;
  return {
    cut: pick(
      [CutProcesses.Holder, CutProcesses.Others, CutProcesses.All],
      CutProcesses.All,
    ),
    moment: Math.round(random.next() * LATEST_MOMENT),
    period: isSeries
      ? Math.round(SHORTEST_PERIOD + random.next() * range)
      : null,
    duration: random.next() < 0.5 ? 0 : Math.round(random.next() * LONGEST_CUT),
    holder: pick(
      [HolderTrouble.None, HolderTrouble.Killed, HolderTrouble.Frozen],
      HolderTrouble.None,
    ),
  };
}

function cutOffPlanOf(seed: number): ICutOffPlan {
  const random = new SeededRandom(seed);
  // The first numbers of neighbouring seeds are the same.
  random.next();
  const pick = <T>(values: readonly T[], fallback: T): T =>
    values[Math.floor(random.next() * values.length)] ?? fallback;
  const between = (shortest: number, longest: number) =>
    Math.round(shortest + random.next() * (longest - shortest));
  return {
    cut: pick(
      [CutProcesses.Holder, CutProcesses.Holder, CutProcesses.Others],
      CutProcesses.Holder,
    ),
    mode: pick(
      [
        LinkMode.Silent,
        LinkMode.Cut,
        LinkMode.DropAnswers,
        LinkMode.DropRequests,
      ],
      LinkMode.Silent,
    ),
    duration: between(SHORTEST_CUT_OFF, LONGEST_CUT_OFF),
    moment: between(EARLIEST_LEAVE, LATEST_LEAVE),
  };
}

async function play(plan: ILeavingPlan | ICutOffPlan) {
  await using targets = new LeavingTargets();
  await targets.start();
  await ("mode" in plan ? targets.playCutOff(plan) : targets.play(plan));
  return targets.end();
}

async function expectNoneLate(plan: ILeavingPlan | ICutOffPlan): Promise<void> {
  const { late, refused, calls } = await play(plan);
  if (process.env.LEAVING_TARGETS_REPORT) {
    const shown = `${calls} calls, late ${late.length}`;
    const more = `refused ${refused.length}`;
    process.stderr.write(`${JSON.stringify(plan)}: ${shown}, ${more}\n`);
  }
  expect(late, JSON.stringify(plan)).to.deep.equal([]);
}

async function expectServing(plan: IOutagePlan): Promise<void> {
  await using targets = new LeavingTargets();
  await targets.start();
  targets.silence("p-1");
  await targets.playOutages(plan);
  const { refused } = await targets.end();
  expect(refused).to.deep.equal([]);
  expect(targets.lateCallsAfterOutage("p-1")).to.deep.equal([]);
}

describe("targets whose entries are removed while they serve", () => {
  // Guards against calls that reach a target for longer than it may get them,
  // since one watch that was cut off counts as an outage of the store.
  it("get none later than they may after one cut of a watch", async () => {
    await expectNoneLate({
      cut: CutProcesses.All,
      moment: 50,
      period: null,
      duration: 0,
      holder: HolderTrouble.None,
    });
  });

  // Guards against a target that is never dropped, since each cut of a watch
  // starts the time for which it is kept anew.
  it("get none later than they may while watches are cut in series", async () => {
    await expectNoneLate({
      cut: CutProcesses.All,
      moment: 300,
      period: 600,
      duration: 0,
      holder: HolderTrouble.None,
    });
  });

  // Guards against processes that judge the store by their own connection after
  // the holder, which would have told them, is gone.
  it("get none later than they may while the holder is frozen", async () => {
    await expectNoneLate({
      cut: CutProcesses.Others,
      moment: 50,
      period: 600,
      duration: 0,
      holder: HolderTrouble.Frozen,
    });
  });

  // Guards against the same in other orders of cuts, removals and holders.
  for (let seed = SEED; seed < SEED + PLANS; seed += 1) {
    it(`get none later than they may, seed ${seed}`, async () => {
      await expectNoneLate(planOf(seed));
    });
  }
});

describe("targets that leave while processes are cut off from the store", () => {
  // Guards against calls to targets that have left: the lease holder alone was
  // cut off, and takes that for an outage of the store.
  it("get none later than they may as the holder returns", async () => {
    await expectNoneLate({
      cut: CutProcesses.Holder,
      mode: LinkMode.Silent,
      duration: 2_200,
      moment: 50,
    });
  });

  // Guards against the same with other processes, cuts and moments.
  for (let seed = SEED; seed < SEED + PLANS; seed += 1) {
    it(`get none later than they may, cut by seed ${seed}`, async () => {
      await expectNoneLate(cutOffPlanOf(seed));
    });
  }
});

describe("targets whose entries expire in an outage of the store", () => {
  // Guards against refusing calls at the end of an outage, when the entries of
  // live targets are missing.
  const plans: readonly [string, IOutagePlan][] = [
    ["refuses", { mode: LinkMode.Refuse, delay: 0, durations: [OUTAGE] }],
    ["is silent", { mode: LinkMode.Silent, delay: 0, durations: [OUTAGE] }],
    [
      "is slow",
      { mode: LinkMode.Pass, delay: SLOW_DELAY, durations: [OUTAGE] },
    ],
    [
      "is away again and again",
      { mode: LinkMode.Refuse, delay: 0, durations: SHORT_OUTAGES },
    ],
  ];
  for (const [name, plan] of plans) {
    it(`are served while it ${name}`, async () => {
      await expectServing(plan);
    }).timeout(TIME_LIMIT);
  }
});
