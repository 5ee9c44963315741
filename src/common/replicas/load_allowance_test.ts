import { expect } from "chai";
import { LoadAllowance } from "./load_allowance.ts";

const BOUNDS = { window: 5_000, factor: 1.1 };
/** Loads per second. */
const RATE = 5;

describe("LoadAllowance", () => {
  // Guards against a slow weight store: the instances of a returning domain all
  // need weights, and halfway the lease passes to a holder that does not know
  // which loads have begun.
  it("keeps the loads of two holders in one window within the bound", () => {
    const begun = [new LoadAllowance(BOUNDS), new LoadAllowance(BOUNDS)].map(
      (allowance) => {
        let loads = 0;
        while (allowance.remaining(RATE, 1_000) > 0) {
          allowance.recordLoad(1_000);
          loads += 1;
        }
        return loads;
      },
    );
    const bound = RATE * 5 * BOUNDS.factor + 3;
    const all = begun.reduce((sum, loads) => sum + loads, 0);
    expect(all).to.be.at.most(bound);
    expect(all).to.be.at.least(bound * 0.7);
  });

  it("restores the allowance after the window", () => {
    const allowance = new LoadAllowance(BOUNDS);
    const whole = allowance.remaining(RATE, 0);
    allowance.recordLoad(0);
    expect(allowance.remaining(RATE, 4_999)).to.equal(whole - 1);
    expect(allowance.remaining(RATE, 5_000)).to.equal(whole);
  });
});
