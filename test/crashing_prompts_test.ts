/** Calls whose prompts crash the engines that begin to answer them. */
import { expect } from "chai";
import { CrashingCalls, MAXIMUM_LATE } from "./support/crashing_calls.ts";
import { EntryFleet } from "./support/entry_fleet.ts";

const ENGINES = 40;
const PROCESSES = 3;

/** Milliseconds without crashing calls at the start of a run. */
const SOUND_TIME = 3_000;

const CRASHING = new Set(["crashing"]);

describe("calls with a part that crashes engines", () => {
  // Guards against a call that crashes one engine after the other, since lost
  // engines are held against the targets only and never against the calls.
  it("reach no further engines once it is known", async () => {
    await using fleet = new EntryFleet(ENGINES);
    fleet.engines.forEach((one) => (one.crashingParts = CRASHING));
    await fleet.start(PROCESSES);
    const result = await new CrashingCalls(fleet).run({
      length: 18_000,
      seed: 20261204,
      crashingParts: (elapsed) =>
        elapsed > SOUND_TIME ? ["system", "crashing"] : null,
      soundParts: (random) => ["system", `desk-${random.next() < 0.5}`],
    });
    expect(result.crashes).to.be.greaterThan(2);
    expect(result.late).to.be.at.most(MAXIMUM_LATE);
    expect(result.servedAfter).to.be.at.least(result.servedBefore / 2);
    expect(result.wronglyRefused).to.equal(0);
  });
});
