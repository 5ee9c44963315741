/** Single requests that crash each engine that begins an answer to them. */
import { expect } from "chai";
import {
  ALLOWED_CRASHES,
  sendCrashingRequests,
} from "./support/crashing_requests.ts";
import type {
  IRequestLoad,
  IRequestResult,
} from "./support/crashing_requests.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

const ENGINES = 40;
const PROCESSES = 3;

/** Milliseconds. */
const LENGTH = 12_000;

/** Milliseconds without crashing requests at the start of a run. */
const SOUND_TIME = 3_000;

/** Share of the sound calls that are whole beside such requests. */
const WHOLE_SHARE = 0.75;

/** Path of a plain request that crashes targets. */
const CRASHING_PATH = "/feed/bad";

/** Attempts of its caller. */
const ATTEMPTS = 6;

async function play(
  load: Omit<IRequestLoad, "length" | "disturb">,
  disturb?: (elapsed: number, fleet: EntryFleet) => void,
): Promise<IRequestResult> {
  await using fleet = new EntryFleet(ENGINES);
  await fleet.start(PROCESSES);
  return await sendCrashingRequests(fleet, {
    ...load,
    length: LENGTH,
    disturb: (elapsed) => disturb?.(elapsed, fleet),
  });
}

function expectBounded(result: IRequestResult): void {
  const shown = JSON.stringify(result);
  expect(Math.max(...result.crashes), shown).to.be.greaterThan(0);
  expect(Math.max(...result.late), shown).to.equal(0);
  expect(result.wronglyRefused, shown).to.equal(0);
  expect(result.whole, shown).to.be.at.least(WHOLE_SHARE);
}

describe("a request that crashes engines", () => {
  // Guards against a request that ends two engines in each attempt of its
  // caller, since nothing recognizes the next attempt.
  it("is sent to no further one after three, over all attempts", async () => {
    expectBounded(await play({ starts: [SOUND_TIME] }));
  });

  // Guards against sound calls that are refused for the parts that they share
  // with several such requests.
  it("takes no sound call with it beside others of its kind", async () => {
    const starts = [0, 100, 200, 2_000, 2_100, 2_200].map(
      (delay) => SOUND_TIME + delay,
    );
    expectBounded(await play({ starts }));
  });

  // Guards against a count that only the lease holder has.
  it("is known to the other processes without the holder", async () => {
    let isStopped = false;
    const result = await play({ starts: [SOUND_TIME] }, (elapsed, fleet) => {
      if (!isStopped && elapsed >= SOUND_TIME - 200) {
        isStopped = true;
        void fleet.restartProcess(0);
      }
    });
    expectBounded(result);
  });
});

describe("a plain request that crashes targets", () => {
  // Guards against a plain request that ends two targets in each attempt of its
  // caller, and against other requests that are refused with it.
  it("is sent to no further one after three, over all attempts", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(PROCESSES);
    const { plainTargets } = fleet;
    plainTargets.forEach((one) => (one.crashingPath = CRASHING_PATH));
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const process = attempt % PROCESSES;
      await fleet.sendCall(process, CRASHING_PATH).catch(() => null);
      await waitFor("other requests are served", async () => {
        const { status } = await fleet.sendCall(process, Path.Safe);
        return status === 200;
      });
    }
    const crashes = plainTargets.flatMap((one) => one.crashes);
    expect(crashes).to.have.length(ALLOWED_CRASHES);
  });
});
