/** Calls that come late in the grace time and run for longer than is left. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Milliseconds; calls of this length cannot end if they come late. */
const LONG_RUN = 5_500;

/** Milliseconds; no call ends meanwhile. */
const NO_END = 30_000;

/** Milliseconds after SIGTERM at which the calls come. */
const LATE = 2_500;

/** Milliseconds for which targets have been slow before SIGTERM. */
const SLOW_BEFORE = 3_000;

/** Milliseconds; more than the grace time. */
const PLAIN_TIMEOUT = 20_000;

/** Calls by which the length of the others is known. */
const KNOWN_CALLS = 12;

const LATE_CALLS = 6;

/** Bytes of an answer that the system does not buffer whole. */
const LONG_ANSWER = 8_000_000;

/** Milliseconds that its call runs. */
const LONG_ANSWER_RUN = 1_800;

/** Milliseconds after SIGTERM between which its reader is frozen. */
const FROZEN_FROM = 1_000;
const FROZEN_UNTIL = 4_500;

async function startFleet(processes: number): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  fleet.plainTimeout = PLAIN_TIMEOUT;
  await fleet.start(processes);
  return fleet;
}

/** Stops a process; its late calls must be refused, and must not run. */
async function expectLateRefused(
  fleet: EntryFleet,
  { stopped, asked }: { readonly stopped: number; readonly asked: number },
): Promise<void> {
  const handle = fleet.processes[stopped]?.handle;
  handle?.signal("SIGTERM");
  await sleep(LATE);
  const ids = Array.from({ length: LATE_CALLS }, (_, index) => `late-${index}`);
  const answers = await Promise.all(
    ids.map((id) => fleet.sendCall(asked, Path.Unsafe, { id })),
  );
  await handle?.waitForExit();
  const runs = fleet.plainTargets.flatMap((target) => target.runs);
  expect({
    statuses: answers.map(({ status }) => status),
    runs: runs.filter((id) => ids.includes(id)),
  }).to.deep.equal({ statuses: ids.map(() => 503), runs: [] });
}

describe("calls that may not be repeated, late in the grace time", () => {
  // Guards against a call that runs and ends without an answer of its target,
  // since a process that forwards it takes it for its last seconds only.
  it("are not forwarded by a process that cannot finish them", async () => {
    await using fleet = await startFleet(3);
    for (const index of [0, 1]) {
      fleet.setLinks(index, LinkMode.Refuse);
      await fleet.waitUntilLost(index);
    }
    fleet.plainTargets.forEach((target) => (target.runTime = LONG_RUN));
    const statuses = await fleet.statusesOf(1, Path.Unsafe, KNOWN_CALLS);
    expect(statuses).to.deep.equal(statuses.map(() => 200));
    await expectLateRefused(fleet, { stopped: 2, asked: 1 });
  });

  // Guards against the same at the process that took the call, whose targets are
  // slower than ever: none of the slow calls has ended, and tells how long.
  it("are refused while calls before them last longer than ever", async () => {
    await using fleet = await startFleet(1);
    fleet.plainTargets.forEach((target) => (target.runTime = NO_END));
    const held = fleet.statusesOf(0, Path.Unsafe, KNOWN_CALLS);
    await waitFor("the targets have them", () => {
      const runs = fleet.plainTargets.flatMap((target) => target.runs);
      return runs.length >= KNOWN_CALLS;
    });
    await sleep(SLOW_BEFORE);
    await expectLateRefused(fleet, { stopped: 0, asked: 0 });
    // They are answered at their deadline, which is in time.
    expect(await held).to.deep.equal(Array(KNOWN_CALLS).fill(504));
  });
});

describe("forwarded calls that end in the grace time", () => {
  // Guards against an answer that is cut, since the process that forwards it ends
  // once it has the answer, and not when the other process has read it.
  it("are answered whole to a process that reads late", async () => {
    await using fleet = await startFleet(2);
    fleet.setLinks(0, LinkMode.Refuse);
    await fleet.waitUntilLost(0);
    for (const target of fleet.plainTargets) {
      target.answer = "x".repeat(LONG_ANSWER);
      target.runTime = LONG_ANSWER_RUN;
    }
    const [reader, stopped] = fleet.processes;
    stopped?.handle.signal("SIGTERM");
    const answer = fleet.sendCall(0, Path.Unsafe, { id: "long" });
    await sleep(FROZEN_FROM);
    reader?.handle.signal("SIGSTOP");
    await sleep(FROZEN_UNTIL - FROZEN_FROM);
    reader?.handle.signal("SIGCONT");
    const { status, text } = await answer;
    expect({ status, length: text.length }).to.deep.equal({
      status: 200,
      length: LONG_ANSWER,
    });
    await stopped?.handle.waitForExit();
  });
});
