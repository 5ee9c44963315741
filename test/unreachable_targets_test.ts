/** Entry processes that lose their own links to the targets. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Milliseconds after a cut from which each call must be served. */
const DETECTION_TIME = 3_000;

const CALLS = 12;
const ALL_SERVED: readonly number[] = Array.from({ length: CALLS }, () => 200);

async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  await fleet.start(3);
  return fleet;
}

describe("calls at a process that reaches no target", () => {
  for (const mode of [LinkMode.Refuse, LinkMode.Cut, LinkMode.Silent]) {
    for (const [kind, path] of Object.entries(Path)) {
      // Guards against callers that are refused because their process has lost
      // its links to the targets, while other processes reach them.
      it(`are served through another one, ${mode} ${kind}`, async () => {
        await using fleet = await startFleet();
        fleet.setLinks(1, mode);
        // Calls in the meantime show the process that its links are down.
        const noticing = fleet.statusesOf(1, path, 2).catch(() => undefined);
        await sleep(DETECTION_TIME);
        await noticing;
        const statuses = await fleet.statusesOf(1, path, CALLS);
        expect(statuses).to.deep.equal(ALL_SERVED);
      });
    }
  }
});

describe("a lease holder that loses its links to the engines", () => {
  // Guards against sound groups that are given up because the lease holder
  // takes its own broken links for the silence of their members.
  it("keeps the groups of engines that others reach", async () => {
    await using fleet = await startFleet();
    const members = fleet.engines.filter(({ group }) =>
      group?.startsWith("group-"),
    );
    const before = members.map(({ group }) => group);
    const [, ...cutOff] = fleet.engines.map(({ id }) => id);
    // Streams that fall silent make the holder ask their groups' members.
    const streams = fleet.statusesOf(0, Path.Stream, CALLS);
    await waitFor("streams are open", () => fleet.openStreams === CALLS);
    fleet.setLinks(0, LinkMode.Silent, cutOff);
    await sleep(DETECTION_TIME);
    await streams;
    const after = members.map(({ group }) => group);
    expect(before).to.not.be.empty;
    expect(after).to.deep.equal(before);
    expect(fleet.processes[0]?.handle.output).to.not.include("groups_lost");
  });

  // Guards against engines that get no orders while the lease holder reaches
  // none of them: a group that loses a member then stays lost.
  it("replaces a group that loses a member", async () => {
    await using fleet = await startFleet();
    fleet.setLinks(0, LinkMode.Refuse);
    await sleep(DETECTION_TIME);
    const [engine] = fleet.engines.filter(({ runs }) => runs.length > 0);
    const lost = engine?.group;
    engine?.stop();
    fleet.store.remove("servers", engine?.id ?? "");
    await sleep(DETECTION_TIME);
    const left = fleet.engines.filter((one) => one !== engine);
    const groups = left.map(({ group }) => group);
    expect(lost).to.be.a("string");
    expect(groups).to.not.include(lost);
    const statuses = await fleet.statusesOf(0, Path.Stream, CALLS);
    expect(statuses).to.deep.equal(ALL_SERVED);
  });
});
