import { expect } from "chai";
import { ForwardingSoak } from "../../../test/support/forwarding_soak.ts";

/** Seeds of a short run; `FORWARDING_SOAK_SEEDS` names the number of a long one. */
const SEEDS = 12;

/** Milliseconds of each run. */
const RUN_TIME = 30_000;

describe("forwarding while links are cut and processes fail", () => {
  // Guards against calls that run twice or are wrongly said not to have run,
  // and calls that are not served although another process has a path.
  it("keeps what callers are promised", async function () {
    this.timeout(600_000);
    const { FORWARDING_SOAK_SEEDS } = process.env;
    const seeds = Number(FORWARDING_SOAK_SEEDS ?? SEEDS);
    for (let seed = 1; seed <= seeds; seed += 1) {
      const soak = new ForwardingSoak(seed);
      await soak.run(RUN_TIME);
      expect(soak.calls.length).to.be.greaterThan(100);
      expect(soak.findings, `seed ${seed}`).to.deep.equal([]);
    }
  });
});
