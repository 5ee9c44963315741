/** Group membership while engines, orders and lease holders fail at random. */
import { expect } from "chai";
import { MembershipSoak } from "../../test/support/membership_soak.ts";

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

/** Simulated milliseconds of each seed. */
const RUN_TIME = 60_000;

describe("group membership under faults", () => {
  // Guards against requests that stall because a member was joined to another
  // group while the head of its own was open.
  for (const seed of SEEDS) {
    it(`takes no member from a group whose head is open, seed ${seed}`, async () => {
      const taken = await new MembershipSoak(seed).run(RUN_TIME);
      expect(taken).to.deep.equal([]);
    });
  }
});
