import { expect } from "chai";
import type { IPlan } from "../plans/types.ts";
import { AccountAdmission } from "./account_admission.ts";

const PLAN: IPlan = {
  name: "newsroom",
  services: ["summarizer"],
  priority: 5,
  requestsPerSecond: 10,
  tokensPerMinute: 6_000,
  requestsInFlight: 5,
  deadline: 5_000,
};

describe("admission by plan", () => {
  it("returns when the next request will be within the plan's rate", () => {
    const use = new AccountAdmission();
    for (let index = 0; index < PLAN.requestsPerSecond; index++) {
      expect(use.admit(PLAN, 1, 0)).to.equal(null);
      use.finish(1, 1);
    }
    const refused = use.admit(PLAN, 1, 0);
    expect(refused?.retryAfter).to.equal(100);
    expect(use.admit(PLAN, 1, refused?.retryAfter ?? 0)).to.equal(null);
  });

  it("limits requests in flight", () => {
    const use = new AccountAdmission();
    for (let index = 0; index < PLAN.requestsInFlight; index++) {
      expect(use.admit(PLAN, 1, 0)).to.equal(null);
    }
    expect(use.admit(PLAN, 1, 0)).to.not.equal(null);
    use.finish(1, 1);
    expect(use.admit(PLAN, 1, 0)).to.equal(null);
  });

  it("charges the tokens requested, and returns those not generated", () => {
    const use = new AccountAdmission();
    expect(use.admit(PLAN, 5_000, 0)).to.equal(null);
    expect(use.admit(PLAN, 2_000, 0)?.retryAfter).to.equal(10_000);
    use.finish(5_000, 1_000);
    expect(use.admit(PLAN, 2_000, 0)).to.equal(null);
  });
});
