/** Targets that reject calls for a time, and how processes keep to it. */
import { expect } from "chai";
import { CallRefusalKind } from "../common/calls/types.ts";
import { CallingFleet } from "../../test/support/calling_fleet.ts";

const SEED = 20261203;

/** Milliseconds for which an overloaded head wants no calls. */
const RETRY_AFTER = 3_000;

async function startFleet(
  processes: number,
  seed = SEED,
): Promise<CallingFleet> {
  const fleet = new CallingFleet({ seed, callsPerSecond: 50 });
  await fleet.start(processes);
  await fleet.run(1_000);
  expect(fleet.serving).to.have.length(3);
  return fleet;
}

describe("keeping the retry-after times of targets", () => {
  // Guards against sending calls to a target that has rejected one and named a
  // time for which it wants no more.
  for (const processes of [1, 6, 20]) {
    it(`sends an overloaded target nothing, ${processes} processes`, async () => {
      const fleet = await startFleet(processes);
      const [overloaded = ""] = fleet.serving;
      fleet.heads.setOverloaded(overloaded, RETRY_AFTER);
      await fleet.run(8_000);
      expect(fleet.heads.rejections).to.be.greaterThan(0);
      expect(fleet.heads.rejectionViolations).to.deep.equal([]);
      fleet.dispose();
    });
  }

  // Guards against a path that ignores the time: retries after other rejections
  // and streams that break off and are resumed, beside request limits.
  for (const seed of [1, 2, 3]) {
    it(`keeps it among other failures and limits, seed ${seed}`, async () => {
      const fleet = await startFleet(6, seed);
      const [overloaded = "", other = "", limited = ""] = fleet.serving;
      fleet.heads.faultShare = 0.2;
      fleet.heads.setLimit(limited, 1.6);
      for (let round = 0; round < 3; round += 1) {
        fleet.heads.setOverloaded(overloaded, RETRY_AFTER);
        await fleet.run(2_000);
        fleet.heads.setOverloaded(other, 0.5 * RETRY_AFTER);
        await fleet.run(2_000);
        fleet.heads.setOverloaded(overloaded, null);
        await fleet.run(2_000);
        fleet.heads.setOverloaded(other, null);
      }
      expect(fleet.heads.rejectionViolations).to.deep.equal([]);
      expect(fleet.heads.exceededWindows).to.deep.equal([]);
      fleet.dispose();
    });
  }

  // Guards against a target that stays unused: calls must return to it when its
  // time is over.
  it("returns to a target after its time", async () => {
    const fleet = await startFleet(6);
    const [overloaded = ""] = fleet.serving;
    fleet.heads.setOverloaded(overloaded, RETRY_AFTER);
    await fleet.run(500);
    fleet.heads.setOverloaded(overloaded, null);
    await fleet.run(RETRY_AFTER + 500);
    await fleet.run(3_000);
    expect(fleet.heads.arrivalsIn(overloaded, 3_000)).to.be.at.least(15);
    fleet.dispose();
  });

  // Guards against a burst of calls that a target rejects again, each of which
  // costs a retry, when its time is over and many calls wait.
  it("tries a target with one call after its time", async () => {
    const fleet = await startFleet(1);
    for (const head of fleet.serving) {
      fleet.heads.setOverloaded(head, RETRY_AFTER);
    }
    await fleet.run(RETRY_AFTER * 4);
    const rounds = 4 + 1;
    const { length } = fleet.serving;
    expect(fleet.heads.rejections).to.be.at.most(rounds * length * 2);
    fleet.dispose();
  });

  // Guards against callers that wait in vain, or come back too soon, while all
  // targets reject calls.
  it("refuses calls at once while no target takes any", async () => {
    const fleet = await startFleet(1);
    for (const head of fleet.serving) {
      fleet.heads.setOverloaded(head, RETRY_AFTER);
    }
    await fleet.run(1_000);
    const since = fleet.deployment.clock.now();
    await fleet.run(1_000);
    const refused = fleet.answers.filter(
      ({ submittedAt }) => submittedAt >= since,
    );
    expect(refused).to.have.length.greaterThan(20);
    for (const { submittedAt, reply } of refused) {
      expect(reply.refusal?.kind).to.equal(CallRefusalKind.NotRun);
      expect(reply.refusedAt).to.equal(submittedAt);
      const left = since - 1_000 + RETRY_AFTER - submittedAt;
      expect(reply.refusal?.retryAfter).to.be.within(left, left + 1_500);
    }
    fleet.dispose();
  });
});
