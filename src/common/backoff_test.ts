import { expect } from "chai";
import { SeededRandom } from "../../test/support/seeded_random.ts";
import { Backoff } from "./backoff.ts";

describe("back-off", () => {
  it("retries less often the longer an outage lasts, and never in step", () => {
    const bounds = { shortest: 1_000, longest: 60_000 };
    const callers = Array.from(
      { length: 100 },
      (_, seed) => new Backoff(new SeededRandom(seed), bounds),
    );
    const mean = () =>
      callers.reduce((sum, caller) => sum + caller.nextDelay(), 0) /
      callers.length;
    const means = Array.from({ length: 8 }, mean);
    const last = callers.map((caller) => Math.round(caller.nextDelay()));
    expect(means[0]).to.be.within(500, 1_000);
    expect(means[4]).to.be.above(4 * means[0]!);
    expect(Math.max(...means)).to.be.at.most(60_000);
    expect(new Set(last).size).to.be.above(95);
    callers[0]!.reset();
    expect(callers[0]!.nextDelay()).to.be.at.most(1_000);
  });
});
