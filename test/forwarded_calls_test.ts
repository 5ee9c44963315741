/** Calls that an entry process forwards since it reaches no target. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { IFleetProcess } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Events of a stream of 3 s. */
const LONG_STREAM = 150;

/** Milliseconds that a plain target runs a call: longer than a peer's end. */
const RUN_TIME = 1_500;

const CALLS = 12;

/** Milliseconds from a caller's leave until its targets must be idle. */
const CANCEL_TIME = 500;

/** Milliseconds; a refusal that takes longer has waited for something. */
const REFUSAL_TIME = 300;

function wholeStream(events: number): string {
  const ids = Array.from({ length: events }, (_, index) => index + 1);
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join("");
}

/** Starts processes of which the second one has lost its links. */
async function startCutFleet(mode = LinkMode.Refuse): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  await fleet.start(3);
  fleet.setLinks(1, mode);
  await fleet.waitUntilLost(1);
  for (const engine of fleet.engines) {
    engine.eventCount = LONG_STREAM;
  }
  return fleet;
}

describe("forwarded calls", () => {
  const losses: readonly [string, (peer: IFleetProcess) => void][] = [
    ["is killed", ({ handle }) => handle.signal("SIGKILL")],
    ["freezes", ({ handle }) => handle.signal("SIGSTOP")],
    ["is stopped", ({ handle }) => handle.signal("SIGTERM")],
    ["loses its links", ({ links }) => cut(links)],
  ];
  for (const [name, lose] of losses) {
    // Guards against a stream that is cut, or ends short, with the process that
    // forwards it.
    it(`are answered whole when the process between ${name}`, async () => {
      await using fleet = await startCutFleet();
      const answer = fleet.sendCall(1, Path.Stream, { id: "long" });
      const peer = await fleet.waitUntilForwarded(1, "long");
      await waitFor("it is open", () => fleet.openStreams > 0);
      await sleep(500);
      lose(peer);
      const { status, text } = await answer;
      expect(status).to.equal(200);
      expect(text).to.equal(wholeStream(LONG_STREAM));
    });
  }

  // Guards against callers that are refused because the only process that
  // reaches the targets has been told to stop, and refuses them at once.
  it("are taken by a stopping process as long as its own", async () => {
    await using fleet = await startCutFleet();
    fleet.setLinks(0, LinkMode.Refuse);
    await fleet.waitUntilLost(0);
    fleet.processes[2]?.handle.signal("SIGTERM");
    await sleep(500);
    const statuses = await fleet.statusesOf(1, Path.Unsafe, CALLS);
    const streams = await fleet.statusesOf(1, Path.Stream, CALLS);
    const served = Array.from({ length: CALLS }, () => 200);
    expect(statuses).to.deep.equal(served);
    expect(streams).to.deep.equal(served);
  });

  // Guards against targets that work on for a caller that has left: the leave
  // has to pass through the process between.
  it("are cancelled when the caller leaves", async () => {
    await using fleet = await startCutFleet();
    const caller = new AbortController();
    const { signal } = caller;
    const answer = fleet.sendCall(1, Path.Stream, { id: "left", signal });
    await fleet.waitUntilForwarded(1, "left");
    await waitFor("it is open", () => fleet.openStreams > 0);
    caller.abort();
    await answer.catch(() => undefined);
    await sleep(CANCEL_TIME);
    expect(fleet.openStreams).to.equal(0);
  });

  // Guards against a call that runs twice, since the process that forwards it
  // ends and another one is asked.
  it("that may not be repeated run once", async () => {
    await using fleet = await startCutFleet();
    fleet.plainTargets.forEach((target) => (target.runTime = RUN_TIME));
    const ids = Array.from({ length: CALLS }, (_, index) => `once-${index}`);
    const answers = ids.map((id) => fleet.sendCall(1, Path.Unsafe, { id }));
    await waitFor("the targets run all calls", () => {
      const runs = fleet.plainTargets.flatMap((target) => target.runs);
      return ids.every((id) => runs.includes(id));
    });
    const peer = await fleet.waitUntilForwarded(1, ids[0] ?? "");
    peer.handle.signal("SIGKILL");
    await Promise.all(answers.map((one) => one.catch(() => undefined)));
    const runs = fleet.plainTargets.flatMap((target) => target.runs);
    const repeated = ids.filter(
      (id) => runs.filter((run) => run === id).length > 1,
    );
    expect(repeated).to.deep.equal([]);
  });

  // Guards against callers that wait in vain, or are passed round between
  // processes, when no process reaches the targets.
  it("are refused at once, unsent, when all processes are cut off", async () => {
    await using fleet = await startCutFleet();
    fleet.setLinks(0, LinkMode.Refuse);
    fleet.setLinks(2, LinkMode.Refuse);
    await fleet.waitUntilLost(0);
    await fleet.waitUntilLost(2);
    // A first call finds that the other processes do not reach them either.
    await fleet.sendCall(1, Path.Stream);
    const { status, retryAfter, took } = await fleet.sendCall(1, Path.Stream);
    expect(status).to.equal(503);
    expect(Number(retryAfter)).to.be.greaterThan(0);
    expect(took).to.be.lessThan(REFUSAL_TIME);
  });

  // Guards against a process that goes on forwarding when its links are back.
  it("are sent directly again once the links are back", async () => {
    await using fleet = await startCutFleet();
    fleet.setLinks(1, LinkMode.Pass);
    const { handle } = fleet.processes[1] ?? {};
    await waitFor(
      "the links are found to be back",
      () => (handle?.output.split("event=targets_regained").length ?? 0) > 2,
    );
    const { status } = await fleet.sendCall(1, Path.Stream, { id: "direct" });
    expect(status).to.equal(200);
    expect(handle?.output).to.not.match(/event=call_forwarded .*=direct\b/);
  });
});

describe("streams at a process whose links fall silent", () => {
  // Guards against streams that end or stand still with the links, though other
  // processes reach their groups.
  it("go on through another process", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(3);
    for (const engine of fleet.engines) {
      engine.eventCount = LONG_STREAM;
    }
    const ids = Array.from({ length: CALLS }, (_, index) => `open-${index}`);
    const answers = ids.map((id) => fleet.sendCall(1, Path.Stream, { id }));
    await waitFor("all are open", () => fleet.openStreams === CALLS);
    await sleep(500);
    fleet.setLinks(1, LinkMode.Silent);
    const texts = (await Promise.all(answers)).map(({ text }) => text);
    const whole = wholeStream(LONG_STREAM);
    expect(texts.filter((text) => text !== whole)).to.deep.equal([]);
  });
});

function cut(links: IFleetProcess["links"]): void {
  links.forEach((link) => link.setMode(LinkMode.Refuse));
}
