/** Entry processes that are stopped one after the other under load. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { rollStops } from "./support/rolling_stops.ts";
import type { IStop, StopTrouble } from "./support/rolling_stops.ts";

/** Seed of the load; `ROLLING_STOPS_SEED` names another one. */
const SEED = Number(process.env.ROLLING_STOPS_SEED ?? 20261205);

/** Milliseconds between SIGTERM and a second one. */
const SECOND_SIGNAL = 1_000;

/** Share of the runs that the engine resets. */
const RESET_SHARE = 0.1;

/** Milliseconds that heads are silent, one after the other. */
const SHORTEST_PAUSE = 800;
const LONGEST_PAUSE = 2_500;

/** Milliseconds between two heads that fall silent. */
const PAUSE_PERIOD = 400;

/** Milliseconds after SIGTERM at which all heads fall silent, and go on. */
const ALL_SILENT_FROM = 1_000;
const ALL_SILENT_UNTIL = 6_000;

/** Milliseconds for which all engines make no progress and reject calls. */
const STALL_TIME = 3_000;

async function signalTwice({ handle }: IStop): Promise<void> {
  await sleep(SECOND_SIGNAL);
  handle.signal("SIGTERM");
}

async function resetRuns({ fleet, handle, random }: IStop): Promise<void> {
  for (const engine of fleet.engines) {
    engine.losesAnswer = () => random.next() < RESET_SHARE;
  }
  await handle.waitForExit();
  for (const engine of fleet.engines) {
    engine.losesAnswer = () => false;
  }
}

async function pauseHeads({ fleet, handle, random }: IStop): Promise<void> {
  while (!handle.hasExited) {
    const heads = fleet.engines.filter(({ isServing }) => isServing);
    const head = heads[Math.floor(random.next() * heads.length)];
    const range = LONGEST_PAUSE - SHORTEST_PAUSE;
    head?.pause(SHORTEST_PAUSE + random.next() * range);
    await sleep(PAUSE_PERIOD);
  }
}

async function pauseAllHeads({ fleet }: IStop): Promise<void> {
  await sleep(ALL_SILENT_FROM);
  for (const engine of fleet.engines.filter(({ isServing }) => isServing)) {
    engine.pause(ALL_SILENT_UNTIL - ALL_SILENT_FROM);
  }
}

async function stallAllHeads({ fleet }: IStop): Promise<void> {
  await sleep(ALL_SILENT_FROM);
  for (const engine of fleet.engines) {
    engine.stall(STALL_TIME);
  }
}

async function expectNoneLost(trouble: StopTrouble): Promise<void> {
  const { calls, whole, lost, stopTimes } = await rollStops(SEED, trouble);
  const times = stopTimes.map((time) => Math.round(time)).join(", ");
  const shown = `${calls} calls, whole ${whole.toFixed(3)}, stops ${times} ms`;
  if (process.env.ROLLING_STOPS_REPORT) {
    process.stderr.write(`seed ${SEED}: ${shown}, lost ${lost.length}\n`);
  }
  expect(lost, shown).to.deep.equal([]);
}

describe("processes that stop one after the other", () => {
  // Guards against calls that a stop alone cuts.
  it("lose no call", async () => {
    await expectNoneLost(() => Promise.resolve());
  });

  // Guards against calls that are cut because a second signal ends a process.
  it("lose no call if the signal is repeated", async () => {
    await expectNoneLost(signalTwice);
  });

  // Guards against calls that are not retried while the process stops.
  it("lose no call whose engine breaks off", async () => {
    await expectNoneLost(resetRuns);
  });

  // Guards against streams that are cut because their engine is silent for a
  // while, though it would go on.
  it("lose no call whose engine is silent for a while", async () => {
    await expectNoneLost(pauseHeads);
  });

  // Guards against streams that are given up while their engines are paused.
  it("lose no call if all engines are silent for a while", async () => {
    await expectNoneLost(pauseAllHeads);
  });

  // Guards against streams that are given up for another engine while there is
  // none that takes them.
  it("lose no call if all engines are silent and reject others", async () => {
    await expectNoneLost(stallAllHeads);
  });
});
