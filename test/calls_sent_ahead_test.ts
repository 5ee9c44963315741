/** Callers that send requests ahead, at a process that stops. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { IFleetProcess } from "./support/entry_fleet.ts";
import { PipeliningCaller } from "./support/pipelining_caller.ts";
import type { ISentAhead } from "./support/pipelining_caller.ts";
import { waitFor } from "./support/process_handle.ts";

/** Milliseconds that a plain call runs. */
const RUN_TIME = 600;

/** Events of a stream of 2 s. */
const STREAM_EVENTS = 100;

/** Milliseconds between a stream and the call behind it. */
const BEHIND = 500;

/** What calls sent ahead contain. */
const BODIES: readonly (readonly [string, string])[] = [
  ["without bodies", ""],
  ["with bodies", "text"],
];

function callsWith(body: string): readonly [ISentAhead, ISentAhead] {
  return [
    { id: "first", path: Path.Unsafe, body },
    { id: "second", path: Path.Unsafe, body },
  ];
}

async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  fleet.hasLinks = false;
  await fleet.start(1);
  fleet.plainTargets.forEach((target) => (target.runTime = RUN_TIME));
  fleet.engines.forEach((engine) => (engine.eventCount = STREAM_EVENTS));
  return fleet;
}

async function stop(fleet: EntryFleet): Promise<IFleetProcess> {
  const [process] = fleet.processes;
  if (process === undefined) {
    throw new Error("no process was started");
  }
  process.handle.signal("SIGTERM");
  await waitFor("it stops", () => {
    return process.handle.output.includes("event=stopping");
  });
  return process;
}

function runsOf(fleet: EntryFleet, id: string): number {
  const targets = [...fleet.plainTargets, ...fleet.engines];
  const runs = targets.flatMap((target) => target.runs);
  return runs.filter((run) => run === id).length;
}

describe("calls sent ahead to a process that stops", () => {
  for (const [name, body] of BODIES) {
    // Guards against a call that is read, and may run, but gets no answer, since
    // the answer before it on its connection closes the connection.
    it(`are answered if they arrive after the signal ${name}`, async () => {
      await using fleet = await startFleet();
      const { callers, handle } = await stop(fleet);
      using caller = new PipeliningCaller(callers);
      caller.send(...callsWith(body));
      await caller.closed;
      expect(caller.statuses, caller.text).to.deep.equal([200, 200]);
      await handle.waitForExit();
    });

    // Guards against the same if the first of the calls arrived before.
    it(`are answered if the signal comes in between ${name}`, async () => {
      await using fleet = await startFleet();
      using caller = new PipeliningCaller(fleet.processes[0]?.callers ?? "");
      const [first, second] = callsWith(body);
      caller.send(first);
      await waitFor("the first runs", () => runsOf(fleet, first.id) === 1);
      const { handle } = await stop(fleet);
      caller.send(second);
      await caller.closed;
      expect(caller.statuses, caller.text).to.deep.equal([200, 200]);
      await handle.waitForExit();
    });
  }

  // Guards against a call that runs though the answer before it has said that it
  // is the last one of its connection.
  it("are not run behind an answer that closes the connection", async () => {
    await using fleet = await startFleet();
    const { callers, handle } = await stop(fleet);
    using caller = new PipeliningCaller(callers);
    caller.send({ id: "stream", path: Path.Stream });
    await waitFor("the stream has begun", () => caller.statuses.length > 0);
    await sleep(BEHIND);
    caller.send({ id: "behind", path: Path.Unsafe });
    await caller.closed;
    expect(caller.statuses).to.deep.equal([200]);
    expect(caller.text).to.include(`piece ${STREAM_EVENTS}\n`);
    expect(runsOf(fleet, "behind")).to.equal(0);
    await handle.waitForExit();
  });
});
