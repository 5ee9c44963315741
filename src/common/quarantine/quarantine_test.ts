import { expect } from "chai";
import { QuarantineFleet } from "../../../test/support/quarantine_fleet.ts";
import type { QuarantineProcess } from "../../../test/support/quarantine_fleet.ts";

/** Milliseconds from a crash until all processes know the cause. */
const DECISION_TIME = 1_500;

/** Milliseconds between two crashes. */
const PAUSE = 300;

describe("prompt parts that crash engines", () => {
  /** Engines crash one after the other under calls of different processes. */
  async function crash(
    fleet: QuarantineFleet,
    processes: readonly QuarantineProcess[],
    part = "bad",
  ): Promise<void> {
    for (const [index, process] of processes.entries()) {
      const target = `${part}-${fleet.clock.now()}-${index}`;
      process.breakOff(target, "common", part);
      const [other = process] = fleet.processes;
      other.breakOff(target, "common");
      await fleet.advance(PAUSE);
    }
  }

  function refusals(fleet: QuarantineFleet, part = "bad"): readonly boolean[] {
    return fleet.processes.map((one) => one.refuses("common", part, "x"));
  }

  // Guards against crashes of which each process sees too few to know why.
  it("are refused by all processes, whoever sees the crashes", async () => {
    const fleet = new QuarantineFleet(5);
    const [, ...others] = fleet.processes;
    await crash(fleet, others);
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true, true, true, true]);
    expect(fleet.processes[0]?.refuses("common", "x")).to.equal(false);
  });

  // Guards against crashes that a new lease holder does not know of.
  it("are found by a holder that took over between the crashes", async () => {
    const fleet = new QuarantineFleet(5);
    const [first, ...others] = fleet.processes;
    await crash(fleet, others.slice(0, 2));
    fleet.stopProcess(first!);
    await crash(fleet, others.slice(2));
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true, true, true]);
  });

  // Guards against a part that crashes engines again after each restart.
  it("are still refused after all processes have restarted", async () => {
    const fleet = new QuarantineFleet(4);
    await crash(fleet, fleet.processes);
    await fleet.advance(DECISION_TIME);
    fleet.processes.forEach((one) => fleet.stopProcess(one));
    const process = fleet.startProcess();
    expect(process.quarantine.isLoaded).to.equal(false);
    await fleet.advance(100);
    expect(process.quarantine.isLoaded).to.equal(true);
    expect(process.refuses("common", "bad")).to.equal(true);
  });

  // Guards against a cause that is lost because the store was away.
  it("are saved once the store is back", async () => {
    const fleet = new QuarantineFleet(4);
    await fleet.advance(100);
    fleet.store.isUnavailable = true;
    await crash(fleet, fleet.processes);
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true, true, true]);
    expect(fleet.store.object).to.equal(null);
    const [holder] = fleet.processes;
    fleet.stopProcess(holder!);
    fleet.store.isUnavailable = false;
    await fleet.advance(DECISION_TIME);
    const saved = JSON.stringify(fleet.store.object?.value);
    expect(saved).to.include('"parts":["bad"]');
  });

  // Guards against crashes that go on in a part of the fleet without a holder.
  it("are found by a process that hears no holder", async () => {
    const fleet = new QuarantineFleet(3);
    const [, , alone] = fleet.processes;
    alone!.isConnected = false;
    for (const target of ["x", "y", "z", "v"]) {
      alone!.breakOff(target, "common", "bad");
      alone!.answer("sound", "common");
      await fleet.advance(PAUSE);
    }
    await fleet.advance(DECISION_TIME);
    expect(alone!.refuses("common", "bad")).to.equal(true);
    expect(alone!.refuses("common")).to.equal(false);
    alone!.isConnected = true;
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true, true]);
  });

  // Guards against a sound part that stays refused until its time is over.
  it("are released by an operator, and not refused again at once", async () => {
    const fleet = new QuarantineFleet(4);
    await crash(fleet, fleet.processes);
    await fleet.advance(DECISION_TIME);
    const { object } = fleet.store;
    const version = (object?.version ?? 0) + 1;
    fleet.store.object = { ...object!, version, value: { entries: [] } };
    await fleet.advance(12_000);
    expect(refusals(fleet)).to.deep.equal([false, false, false, false]);
    const { log } = fleet.processes[0]!;
    expect(log.fieldsOf("prompt_parts_released")).to.have.length(1);
    expect(log.fieldsOf("prompt_parts_quarantined")).to.have.length(1);
  });

  it("are refused for an hour", async () => {
    const fleet = new QuarantineFleet(2);
    await crash(fleet, [...fleet.processes, ...fleet.processes]);
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true]);
    fleet.clock.advance(3_600_000);
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([false, false]);
  });

  // Guards against calls refused for answers that engines break off, or links
  // that fail, while the engines run on.
  it("are not found in engines that still run", async () => {
    const fleet = new QuarantineFleet(3);
    ["x", "y", "z", "v", "w"].forEach((id) => fleet.running.add(id));
    for (const target of fleet.running) {
      fleet.processes[1]!.breakOff(target, "rare");
      await fleet.advance(PAUSE);
    }
    await fleet.advance(DECISION_TIME);
    expect(fleet.processes[1]!.refuses("rare")).to.equal(false);
    const lines = fleet.processes[1]!.log.fieldsOf("engine_crashed");
    expect(lines).to.deep.equal([]);
  });

  // Guards against sound calls refused while engines end by themselves.
  it("are not those on which answers go on at any process", async () => {
    const fleet = new QuarantineFleet(4);
    const [, one, two, three] = fleet.processes;
    for (let count = 0; count < 12; count += 1) {
      one!.breakOff(`engine-${count}`, "common");
      two!.answer("sound", "common");
      three!.breakOff(`engine-${count}`, "common", `own-${count}`);
      await fleet.advance(PAUSE);
    }
    await fleet.advance(DECISION_TIME);
    expect(fleet.processes[0]!.quarantine.entries).to.deep.equal([]);
  });

  // Guards against a crash that clears its own cause, since the engine had
  // written some events before.
  it("are not cleared by an answer that ends with a crash", async () => {
    const fleet = new QuarantineFleet(4);
    for (const [index, process] of fleet.processes.entries()) {
      process.answer(`engine-${index}`, "bad");
      await fleet.advance(50);
      process.breakOff(`engine-${index}`, "bad");
      await fleet.advance(PAUSE);
    }
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet)).to.deep.equal([true, true, true, true]);
  });

  it("may be two at the same time", async () => {
    const fleet = new QuarantineFleet(3);
    fleet.processes.forEach((one) => one.answer("sound", "common"));
    await fleet.advance(1_100);
    for (let count = 0; count < 4; count += 1) {
      for (const process of fleet.processes) {
        process.breakOff(`${process.name}-bad-${count}`, "common", "bad");
        process.answer("sound", "common");
        await fleet.advance(100);
        process.breakOff(`${process.name}-worse-${count}`, "common", "worse");
        await fleet.advance(100);
      }
    }
    await fleet.advance(DECISION_TIME);
    expect(refusals(fleet, "bad")).to.deep.equal([true, true, true]);
    expect(refusals(fleet, "worse")).to.deep.equal([true, true, true]);
    expect(fleet.processes[0]?.refuses("common")).to.equal(false);
  });
});
