/** Calls whose prompts crash the engines that begin to answer them. */
import { expect } from "chai";
import { CrashingCalls, MAXIMUM_LATE } from "./support/crashing_calls.ts";
import type {
  ICrashingLoad,
  ICrashingResult,
} from "./support/crashing_calls.ts";
import { EntryFleet } from "./support/entry_fleet.ts";

const ENGINES = 40;
const PROCESSES = 3;

/** Milliseconds without crashing calls at the start of a run. */
const SOUND_TIME = 3_000;

/** Milliseconds between two crashes of engines that end by themselves. */
const OWN_CRASH_PERIOD = 1_000;

/** Seed of the load; `CRASHING_PROMPTS_SEED` names another one. */
const SEED = Number(process.env.CRASHING_PROMPTS_SEED ?? 20261204);

const CRASHING = new Set(["crashing", "other"]);

/** Sound calls share their first part with the crashing ones. */
const SOUND: Pick<ICrashingLoad, "seed" | "soundParts"> = {
  seed: SEED,
  soundParts: (random) => ["system", `desk-${random.next() < 0.5}`],
};

async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet(ENGINES);
  fleet.engines.forEach((one) => (one.crashingParts = CRASHING));
  await fleet.start(PROCESSES);
  return fleet;
}

function expectFewCrashes(result: ICrashingResult): void {
  expect(result.crashes).to.be.greaterThan(2);
  expect(result.late).to.be.at.most(MAXIMUM_LATE);
  expect(result.servedAfter).to.be.at.least(result.servedBefore / 2);
  expect(result.wronglyRefused).to.equal(0);
}

/** Calls an action once, when its time has come. */
function once(time: number, action: () => void): (elapsed: number) => void {
  let isDone = false;
  return (elapsed) => {
    if (!isDone && elapsed >= time) {
      isDone = true;
      action();
    }
  };
}

describe("calls with a part that crashes engines", () => {
  // Guards against a call that crashes one engine after the other, since lost
  // engines are held against the targets only and never against the calls.
  it("reach no further engines once it is known", async () => {
    await using fleet = await startFleet();
    const result = await new CrashingCalls(fleet).run({
      ...SOUND,
      length: 18_000,
      crashingParts: (elapsed) =>
        elapsed > SOUND_TIME ? ["system", "crashing"] : null,
    });
    expectFewCrashes(result);
  });

  // Guards against crashes that go on since the process that knew of them is
  // gone, or since two parts are confused.
  it("reach none when there are two and the lease holder is killed", async () => {
    await using fleet = await startFleet();
    let count = 0;
    const result = await new CrashingCalls(fleet).run({
      ...SOUND,
      length: 20_000,
      crashingParts: (elapsed) => {
        count += 1;
        const part = count % 2 === 0 ? "crashing" : "other";
        return elapsed > SOUND_TIME ? ["system", part] : null;
      },
      disturb: once(SOUND_TIME + 500, () => void fleet.restartProcess(0)),
    });
    expectFewCrashes(result);
  });

  // Guards against a part that crashes engines again after it was away, and
  // after each restart.
  it("reach none after a pause in which all processes restart", async () => {
    await using fleet = await startFleet();
    const pauseEnd = SOUND_TIME + 10_000;
    const restart = () => {
      [0, 1, 2].forEach((index) => void fleet.restartProcess(index));
    };
    const result = await new CrashingCalls(fleet).run({
      ...SOUND,
      length: 22_000,
      crashingParts: (elapsed) => {
        const isAway = elapsed > SOUND_TIME + 3_000 && elapsed < pauseEnd;
        return elapsed > SOUND_TIME && !isAway ? ["system", "crashing"] : null;
      },
      disturb: once(SOUND_TIME + 4_000, restart),
    });
    expectFewCrashes(result);
  });
});

describe("engines that crash by themselves", () => {
  // Guards against sound calls that are refused because engines crash under
  // them for other reasons.
  it("get no call refused for its prompt", async () => {
    await using fleet = await startFleet();
    let crashes = 0;
    const result = await new CrashingCalls(fleet).run({
      ...SOUND,
      length: 15_000,
      crashingParts: () => null,
      soundParts: (random) => [
        "system",
        `desk-${random.next() < 0.5}`,
        `rare-${Math.floor(random.next() * 40)}`,
      ],
      disturb: (elapsed) => {
        if (elapsed > (crashes + 1) * OWN_CRASH_PERIOD) {
          const busy = fleet.engines.filter(({ openStreams }) => openStreams);
          busy[crashes % Math.max(1, busy.length)]?.crash();
          crashes += 1;
        }
      },
    });
    expect(result.crashes).to.be.greaterThan(2);
    expect(result.wronglyRefused).to.equal(0);
    const outputs = fleet.processes.map(({ handle }) => handle.output).join("");
    expect(outputs).to.include("event=engine_crashed");
    expect(outputs).to.not.include("event=prompt_parts_quarantined");
  });
});
