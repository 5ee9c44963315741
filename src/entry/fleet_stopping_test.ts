/** What a process that stops knows of the groups. */
import { expect } from "chai";
import {
  TestDeployment,
  TestProcess,
} from "../../test/support/fleet_deployment.ts";

/** Milliseconds until another process holds the lease and knows the groups. */
const SUCCESSION_TIME = 4_000;

async function startFleet(
  deployment: TestDeployment,
): Promise<readonly TestProcess[]> {
  const processes: TestProcess[] = [];
  for (const index of [1, 2, 3]) {
    const process = new TestProcess(deployment, `127.0.0.1:${index}`);
    process.hasCalls = true;
    process.coordinator.start();
    processes.push(process);
    await deployment.advance(index === 1 ? 4_000 : 100);
  }
  await deployment.advance(1_000);
  return processes;
}

function holderOf(processes: readonly TestProcess[]): TestProcess {
  const holder = processes.find(({ coordinator }) => coordinator.isHolder);
  if (holder === undefined) {
    throw new Error("no process holds the lease");
  }
  return holder;
}

describe("a process that stops", () => {
  // Guards against calls of a stopped holder that wait for a group until they
  // are cut, since it learns nothing from the next holder.
  it("learns the groups from the next holder", async () => {
    const deployment = new TestDeployment();
    const processes = await startFleet(deployment);
    const stopping = holderOf(processes);
    await stopping.coordinator.releaseLease();
    await deployment.advance(SUCCESSION_TIME);
    const holder = holderOf(processes);
    expect(holder).to.not.equal(stopping);
    expect(holder.serving).to.not.have.length(0);
    expect(stopping.serving).to.deep.equal(holder.serving);
    processes.forEach(({ coordinator }) => coordinator.dispose());
  });

  // Guards against the same at a process whose holder stops after it, as when
  // all processes are replaced one after the other.
  it("learns them if the holder changes while it stops", async () => {
    const deployment = new TestDeployment();
    const processes = await startFleet(deployment);
    const first = holderOf(processes);
    const stopping = processes.find((one) => one !== first);
    await stopping?.coordinator.releaseLease();
    await deployment.advance(500);
    await first.coordinator.releaseLease();
    deployment.disconnect(first.coordinator);
    await deployment.advance(SUCCESSION_TIME);
    const holder = holderOf(processes);
    expect(holder.serving).to.not.have.length(0);
    expect(stopping?.serving).to.deep.equal(holder.serving);
    processes.forEach(({ coordinator }) => coordinator.dispose());
  });

  // Guards against a process that takes the lease back while it stops, and is
  // gone when the engines need orders.
  it("does not take the lease again", async () => {
    const deployment = new TestDeployment();
    const processes = await startFleet(deployment);
    for (const { coordinator } of processes) {
      await coordinator.releaseLease();
    }
    await deployment.advance(3 * SUCCESSION_TIME);
    const holders = processes.filter(({ coordinator }) => coordinator.isHolder);
    expect(holders).to.deep.equal([]);
    processes.forEach(({ coordinator }) => coordinator.dispose());
  });
});
