import { expect } from "chai";
import { QuarantineFleet } from "../../../test/support/quarantine_fleet.ts";

/** Milliseconds from a crash until all processes know the cause. */
const DECISION_TIME = 1_500;

/** Milliseconds after which one call is admitted at the lease holder. */
const TRIAL_TIME = 60_000;

/** Milliseconds until an answer that goes on is known as a proof. */
const PROOF_TIME = 1_500;

async function quarantine(fleet: QuarantineFleet): Promise<void> {
  for (let index = 0; index < 4; index += 1) {
    fleet.processes.forEach((one) => one.breakOff(`i-${index}`, "rare"));
    await fleet.advance(300);
  }
  await fleet.advance(DECISION_TIME);
}

function refusals(fleet: QuarantineFleet): readonly boolean[] {
  return fleet.processes.map((one) => one.refuses("rare"));
}

describe("a quarantined part that is sound", () => {
  // Guards against sound calls that are refused until the end of the
  // quarantine, since no call is left that could show them sound.
  it("is released by an answer to one call that is admitted", async () => {
    const fleet = new QuarantineFleet(3);
    await quarantine(fleet);
    expect(refusals(fleet)).to.deep.equal([true, true, true]);
    await fleet.advance(TRIAL_TIME);
    const [holder, ...others] = fleet.processes;
    expect(others.map((one) => one.refuses("rare"))).to.not.include(false);
    expect(holder?.answerIfAdmitted("i-9", "rare")).to.equal(true);
    expect(holder?.answerIfAdmitted("i-9", "rare")).to.equal(false);
    await fleet.advance(PROOF_TIME);
    expect(refusals(fleet)).to.deep.equal([false, false, false]);
    expect(JSON.stringify(fleet.store.object)).to.not.include("rare");
    await fleet.advance(2 * TRIAL_TIME);
    expect(refusals(fleet)).to.deep.equal([false, false, false]);
  });

  // Guards against a release that is undone by copies of the entry.
  it("stays released while the store is away", async () => {
    const fleet = new QuarantineFleet(3);
    await fleet.advance(500);
    fleet.store.isUnavailable = true;
    await quarantine(fleet);
    expect(refusals(fleet)).to.deep.equal([true, true, true]);
    await fleet.advance(TRIAL_TIME);
    expect(fleet.processes[0]?.answerIfAdmitted("i-9", "rare")).to.equal(true);
    await fleet.advance(PROOF_TIME);
    expect(refusals(fleet)).to.deep.equal([false, false, false]);
    fleet.store.isUnavailable = false;
    await fleet.advance(2 * DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([false, false, false]);
  });

  // Guards against a part that ends an engine at each trial.
  it("is admitted ever more rarely while engines crash", async () => {
    const fleet = new QuarantineFleet(2);
    await quarantine(fleet);
    const [holder] = fleet.processes;
    let trials = 0;
    for (let second = 0; second < 1_200; second += 1) {
      await fleet.advance(1_000);
      if (holder?.breakOffIfAdmitted(`trial-${second}`, "rare") === true) {
        trials += 1;
      }
    }
    expect(trials).to.equal(3);
  });
});
