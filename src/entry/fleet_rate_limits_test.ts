/** Request limits that targets name, kept by all processes together. */
import { expect } from "chai";
import { CallingFleet } from "../../test/support/calling_fleet.ts";

const SEED = 20261203;

/** Requests per second that an overloaded head takes. */
const LIMIT = 1.6;

/** Starts a fleet whose first head names a limit; returns that head. */
async function startLimited(
  processes: number,
): Promise<{ readonly fleet: CallingFleet; readonly limited: string }> {
  const fleet = new CallingFleet({ seed: SEED, callsPerSecond: 50 });
  await fleet.start(processes);
  await fleet.run(1_000);
  const [limited = ""] = fleet.serving;
  expect(fleet.serving).to.have.length(3);
  fleet.heads.setLimit(limited, LIMIT);
  return { fleet, limited };
}

describe("keeping the request limits of targets", () => {
  // Guards against overloading a target that asks for fewer requests: each
  // process goes on to place calls by free slots, or keeps to the whole limit
  // by itself.
  for (const processes of [1, 6, 91]) {
    it(`sends a target no more than it takes, ${processes} processes`, async () => {
      const { fleet } = await startLimited(processes);
      await fleet.run(15_000);
      expect(fleet.heads.exceededWindows).to.deep.equal([]);
      fleet.dispose();
    });
  }

  // Guards against a limit that is exceeded while the lease changes hands: the
  // new holder assigns it while processes still use their former shares.
  it("keeps a limit while the lease holder is replaced", async () => {
    const { fleet } = await startLimited(6);
    for (let round = 0; round < 3; round += 1) {
      await fleet.run(4_000);
      fleet.killHolder();
      fleet.startProcess();
    }
    await fleet.run(4_000);
    expect(fleet.heads.exceededWindows).to.deep.equal([]);
    fleet.dispose();
  });

  // Guards against a target that stays idle: what it takes must still be sent,
  // and all processes must return when it names no limit any more.
  it("uses what a target takes, and returns to it after the limit", async () => {
    const { fleet, limited } = await startLimited(6);
    await fleet.run(10_000);
    const within = fleet.heads.arrivalsIn(limited, 8_000);
    expect(within).to.be.at.least((LIMIT * 8) / 2);
    fleet.heads.setLimit(limited, null);
    await fleet.run(6_000);
    const after = fleet.heads.arrivalsIn(limited, 3_000);
    expect(after).to.be.at.least(LIMIT * 3 * 3);
    fleet.dispose();
  });
});
