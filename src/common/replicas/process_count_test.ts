import { expect } from "chai";
import { ProcessCount, INITIAL_PROCESS_COUNT } from "./process_count.ts";

describe("ProcessCount", () => {
  // Guards against exceeding the platform's bound on retries: several processes
  // restart while targets lose answers, none knows the others yet, and each
  // would use the whole allowance.
  it("is large before the number is known", () => {
    const count = new ProcessCount();
    expect(count.update(0, 0)).to.equal(INITIAL_PROCESS_COUNT);
    expect(count.update(6, 100)).to.equal(6);
  });

  // Guards against a low count when the lease changes hands and the new holder
  // learns of the others one by one.
  it("does not fall when reports are briefly missing", () => {
    const count = new ProcessCount();
    count.update(6, 0);
    expect(count.update(1, 1_000)).to.equal(6);
    expect(count.update(0, 2_000)).to.equal(6);
    expect(count.update(7, 3_000)).to.equal(7);
  });

  it("falls when processes are gone for good", () => {
    const count = new ProcessCount();
    count.update(6, 0);
    expect(count.update(5, 15_001)).to.equal(5);
  });
});
