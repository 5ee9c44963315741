/** Targets that say in their answers that they are about to leave. */
import { expect } from "chai";
import { CallingFleet } from "../../test/support/calling_fleet.ts";

const SEED = 20261203;

/** Milliseconds from the last call of a test until all its streams have ended. */
const END_TIME = 1_000;

async function startFleet(processes: number): Promise<CallingFleet> {
  const fleet = new CallingFleet({ seed: SEED, callsPerSecond: 50 });
  await fleet.start(processes);
  await fleet.run(1_000);
  expect(fleet.serving).to.have.length(3);
  return fleet;
}

describe("calls to leaving targets", () => {
  // Guards against calls sent to a target that has said in an answer that it is
  // about to leave, while the platform's list still shows it as ready.
  for (const processes of [1, 6, 20]) {
    it(`end once it has said so, ${processes} processes`, async () => {
      const fleet = await startFleet(processes);
      const [leaving = ""] = fleet.serving;
      fleet.heads.leaving.add(leaving);
      await fleet.run(6_000);
      expect(fleet.heads.leavingNotices).to.be.greaterThan(0);
      expect(fleet.heads.leavingViolations).to.deep.equal([]);
      fleet.dispose();
    });
  }

  // Guards against a path that ignores it: retries after rejections, resumed
  // streams and targets that also reject calls for a time.
  it("end on every path, among other failures", async () => {
    const fleet = await startFleet(6);
    const [leaving = "", overloaded = ""] = fleet.serving;
    fleet.heads.faultShare = 0.2;
    fleet.heads.leaving.add(leaving);
    fleet.heads.setOverloaded(overloaded, 1_000);
    await fleet.run(3_000);
    fleet.heads.setOverloaded(leaving, 1_000);
    fleet.heads.setOverloaded(overloaded, null);
    await fleet.run(3_000);
    expect(fleet.heads.leavingViolations).to.deep.equal([]);
    expect(fleet.heads.rejectionViolations).to.deep.equal([]);
    fleet.dispose();
  });

  // Guards against a group that loses a member without notice: a member gets no
  // calls, so that only its reports say that it is about to leave.
  it("end in a group whose member reports it, and go on elsewhere", async () => {
    const fleet = await startFleet(6);
    const { states, leaving } = fleet.deployment.engines;
    const member = [...states].find(
      ([, { model, membership }]) =>
        model === "small" && membership?.rank === 1,
    );
    const group = member?.[1].membership?.group ?? "";
    leaving.add(member?.[0] ?? "");
    await fleet.run(2_000);
    const groups = fleet.processes[1]?.groups.all ?? [];
    const taking = groups.filter(({ takesWork }) => takesWork);
    expect(taking.map((one) => one.group)).to.not.include(group);
    const since = fleet.deployment.clock.now();
    await fleet.run(2_000);
    await fleet.deployment.advance(END_TIME);
    const late = fleet.answers.filter(
      ({ submittedAt }) => submittedAt >= since,
    );
    expect(late).to.have.length.greaterThan(50);
    expect(late.filter(({ reply }) => !reply.isEnded)).to.deep.equal([]);
    fleet.dispose();
  });
});
