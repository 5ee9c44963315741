import { expect } from "chai";
import { QuarantineSoak } from "../../../test/support/quarantine_soak.ts";

/** Seeds of a short run; `QUARANTINE_SOAK_SEEDS` names the number of a long one. */
const SEEDS = 6;

/** Milliseconds of each run. */
const RUN_TIME = 40_000;

describe("quarantine while processes, engines and the store fail", () => {
  for (const parts of [["bad"], ["bad", "worse"], []]) {
    // Guards against crashing calls that still reach engines after the cause is
    // known, and sound calls refused for engines that end by themselves.
    it(`keeps calls with ${parts.length} crashing parts from engines`, async function () {
      this.timeout(1_200_000);
      const { QUARANTINE_SOAK_SEEDS } = process.env;
      const seeds = Number(QUARANTINE_SOAK_SEEDS ?? SEEDS);
      for (let seed = 1; seed <= seeds; seed += 1) {
        const soak = new QuarantineSoak(seed, parts);
        await soak.run(RUN_TIME);
        expect(soak.crashes).to.be.greaterThan(20);
        expect(soak.findings, `seed ${seed}`).to.deep.equal([]);
      }
    });
  }
});
