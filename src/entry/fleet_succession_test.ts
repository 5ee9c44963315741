/** Which process takes the lease when its holder is gone. */
import { expect } from "chai";
import {
  TestDeployment,
  TestProcess,
} from "../../test/support/fleet_deployment.ts";

const SMALL = 0.324;
const LARGE = 1.35;
const SMALL_PROCESSES = 12;

/** A large holder, small processes and, the last to start, a large one. */
async function startFleet(
  deployment: TestDeployment,
): Promise<readonly TestProcess[]> {
  const sizes = [
    LARGE,
    ...Array.from({ length: SMALL_PROCESSES }, () => SMALL),
    LARGE,
  ];
  const processes: TestProcess[] = [];
  for (const [index, cores] of sizes.entries()) {
    const address = `127.0.0.1:${index + 1}`;
    const process = new TestProcess(deployment, address, null, cores);
    process.hasCalls = true;
    process.coordinator.start();
    processes.push(process);
    await deployment.advance(index === 0 ? 4_000 : 100);
  }
  await deployment.advance(1_000);
  return processes;
}

function holders(processes: readonly TestProcess[]): readonly number[] {
  return [...processes.keys()].filter(
    (index) => processes[index]?.coordinator.isHolder,
  );
}

describe("the lease of a holder that is gone", () => {
  const ends: readonly [string, (holder: TestProcess) => Promise<void>][] = [
    ["is killed", async ({ coordinator }) => coordinator.dispose()],
    ["releases it", ({ coordinator }) => coordinator.releaseLease()],
  ];
  for (const [name, end] of ends) {
    // Guards against a holder that falls behind with its work, so that no engine
    // is ordered and its own calls are read late.
    it(`goes to a process with as much processor time when it ${name}`, async () => {
      const deployment = new TestDeployment();
      const [first, ...others] = await startFleet(deployment);
      if (first === undefined) {
        throw new Error("no process was started");
      }
      expect(first.coordinator.isHolder).to.equal(true);
      deployment.coordinators.delete("127.0.0.1:1");
      await end(first);
      await deployment.advance(4_000);
      expect(holders(others)).to.deep.equal([SMALL_PROCESSES]);
      others.forEach(({ coordinator }) => coordinator.dispose());
    });
  }

  // Guards against a fleet without a holder when all large processes are gone.
  it("goes to a small process when there is no other", async () => {
    const deployment = new TestDeployment();
    const [first, ...others] = await startFleet(deployment);
    const last = others.pop();
    deployment.coordinators.delete("127.0.0.1:1");
    deployment.coordinators.delete(`127.0.0.1:${SMALL_PROCESSES + 2}`);
    first?.coordinator.dispose();
    last?.coordinator.dispose();
    await deployment.advance(5_000);
    expect(holders(others)).to.have.length(1);
    others.forEach(({ coordinator }) => coordinator.dispose());
  });
});
