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
  // Guards against a refusal after which the caller retries too early or later
  // than its plan requires.
  it("returns when the next request will be within the plan's rate", () => {
    const admission = new AccountAdmission();
    for (let index = 0; index < PLAN.requestsPerSecond; index++) {
      expect(admission.admit(PLAN, 1, 0)).to.equal(null);
      admission.finish(1, 1);
    }
    const refused = admission.admit(PLAN, 1, 0);
    expect(refused?.retryAfter).to.equal(100);
    expect(admission.admit(PLAN, 1, refused?.retryAfter ?? 0)).to.equal(null);
  });

  // Guards against an account having more requests in flight than its plan
  // allows, and against a finished request that keeps its slot.
  it("limits requests in flight", () => {
    const admission = new AccountAdmission();
    for (let index = 0; index < PLAN.requestsInFlight; index++) {
      expect(admission.admit(PLAN, 1, 0)).to.equal(null);
    }
    expect(admission.admit(PLAN, 1, 0)).to.not.equal(null);
    admission.finish(1, 1);
    expect(admission.admit(PLAN, 1, 0)).to.equal(null);
  });

  // Guards against any number of long answers started at the same moment, and
  // against charging for tokens that were never generated.
  it("charges the tokens requested, and returns those not generated", () => {
    const admission = new AccountAdmission();
    expect(admission.admit(PLAN, 5_000, 0)).to.equal(null);
    expect(admission.admit(PLAN, 2_000, 0)?.retryAfter).to.equal(10_000);
    admission.finish(5_000, 1_000);
    expect(admission.admit(PLAN, 2_000, 0)).to.equal(null);
  });
});
