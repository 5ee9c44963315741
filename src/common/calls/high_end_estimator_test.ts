import { expect } from "chai";
import { HighEndEstimator } from "./high_end_estimator.ts";

describe("high end estimator", () => {
  it("knows nothing before the first sample", () => {
    expect(new HighEndEstimator().estimate).to.equal(null);
  });

  // Guards against a forecast at the middle of the times, which half of the
  // calls exceed.
  it("stays near the upper end of its samples", () => {
    const estimator = new HighEndEstimator();
    for (let index = 0; index < 200; index += 1) {
      estimator.addSample(100 + (index % 11) * 10);
    }
    expect(estimator.estimate).to.be.within(170, 200);
  });

  // Guards against a forecast that stays high forever after one slow response.
  it("falls when times become shorter", () => {
    const estimator = new HighEndEstimator();
    estimator.addSample(1_000);
    for (let index = 0; index < 200; index += 1) {
      estimator.addSample(100);
    }
    expect(estimator.estimate).to.be.within(100, 110);
  });
});
