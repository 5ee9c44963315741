/** Group membership while most faults and late orders come together. */
import { expect } from "chai";
import {
  HARDER_CHANCES,
  MembershipSoak,
} from "../../test/support/membership_soak.ts";

/** Seeds in which late orders restore memberships that had ended. */
const SEEDS = [18, 90, 189, 228, 324, 386, 736];

/** Simulated milliseconds of each seed. */
const RUN_TIME = 60_000;

describe("group membership under many late orders", () => {
  // Guards against requests that stall because a member is joined to another
  // group while its head is open: late orders have put it back into a group
  // that it had left, or have opened a head that had left.
  for (const seed of SEEDS) {
    it(`takes no member from a group whose head is open, seed ${seed}`, async () => {
      const soak = new MembershipSoak(seed, HARDER_CHANCES);
      expect(await soak.run(RUN_TIME)).to.deep.equal([]);
    });
  }
});
