import { expect } from "chai";
import fc from "fast-check";
import { PROBE_RATE } from "../calls/target_rate_limits.ts";
import { RateShareAssignment } from "./rate_share_assignment.ts";

const SEED = 20261203;
const ROUNDING = 1e-9;

const NAMES = Array.from({ length: 8 }, (_, index) => `process-${index}`);

/** Targets with limits, and the processes that are known at one time. */
const moment = fc.record({
  rates: fc.dictionary(
    fc.constantFrom("a", "b", "c"),
    fc.double({ min: 0, max: 20, noNaN: true }),
  ),
  processes: fc.subarray(NAMES, { minLength: 1 }),
});

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, one) => total + one, 0);
}

describe("assigning request limits to processes", () => {
  // Guards against limits that are exceeded or unused because processes join
  // and leave, or limits change.
  it("divides each limit completely among known processes", () => {
    fc.assert(
      fc.property(fc.array(moment, { maxLength: 12 }), (moments) => {
        const assignment = new RateShareAssignment();
        for (const { rates, processes } of moments) {
          assignment.update(new Map(Object.entries(rates)), processes);
          for (const [target, rate] of Object.entries(rates)) {
            const shares = processes.map(
              (process) => assignment.sharesOf(process)[target] ?? 0,
            );
            const expected = Math.max(PROBE_RATE, rate);
            expect(sum(shares)).to.be.closeTo(expected, ROUNDING);
            const unknown = NAMES.filter((name) => !processes.includes(name));
            const lost = unknown.map(
              (process) => assignment.sharesOf(process)[target] ?? 0,
            );
            expect(sum(lost)).to.equal(0);
          }
        }
      }),
      { seed: SEED },
    );
  });

  it("divides a small limit among few processes", () => {
    const assignment = new RateShareAssignment();
    assignment.update(new Map([["a", 2.5]]), NAMES);
    const shares = NAMES.map((process) => assignment.sharesOf(process)["a"]);
    expect(shares.filter((share) => share === 1.25)).to.have.length(2);
    expect(shares.filter((share) => share === 0)).to.have.length(6);
  });

  // Guards against shares that move at each change of the known processes: a
  // share starts from zero, so that most of the limit would be unused.
  it("keeps the assignments of processes that stay", () => {
    const assignment = new RateShareAssignment();
    const rates = new Map([["a", 1.6]]);
    assignment.update(rates, ["process-3"]);
    assignment.update(rates, NAMES);
    expect(assignment.sharesOf("process-3")["a"]).to.equal(1.6);
  });

  it("spreads the limits of several targets over the processes", () => {
    const assignment = new RateShareAssignment();
    const rates = new Map(["a", "b", "c", "d"].map((target) => [target, 1]));
    assignment.update(rates, NAMES.slice(0, 4));
    for (const process of NAMES.slice(0, 4)) {
      expect(sum(Object.values(assignment.sharesOf(process)))).to.equal(1);
    }
  });
});
