import { expect } from "chai";
import { ProcessCount, INITIAL_PROCESS_COUNT } from "./process_count.ts";

describe("the number of processes", () => {
  // Several processes are restarted while targets lose their answers. Each
  // hears of no other yet; if each took the whole allowance, the repeats of
  // all together would pass the platform's bound.
  it("is taken for large before any was heard of", () => {
    const count = new ProcessCount();
    expect(count.update(0, 0)).to.equal(INITIAL_PROCESS_COUNT);
    expect(count.update(6, 100)).to.equal(6);
  });

  // The lease changes hands, and the new holder hears of the others one by
  // one.
  it("does not fall for a moment's silence", () => {
    const count = new ProcessCount();
    count.update(6, 0);
    expect(count.update(1, 1_000)).to.equal(6);
    expect(count.update(0, 2_000)).to.equal(6);
    expect(count.update(7, 3_000)).to.equal(7);
  });

  it("follows processes that are gone for good", () => {
    const count = new ProcessCount();
    count.update(6, 0);
    expect(count.update(5, 15_001)).to.equal(5);
  });
});
