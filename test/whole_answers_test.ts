/**
 * Every caller gets the whole answer to its own request, or a reset connection
 * and an outcome in the log: never a short answer that looks whole. What is
 * whole is known here, since the engines' text depends on prompt and place
 * alone; where it ran is judged by what the engines recorded.
 */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { StreamFault } from "../src/stand_ins/engine_member/stream_fault_injector.ts";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import type { IEngineLogEntry } from "../src/stand_ins/engine_member/types.ts";
import { sendCall, sendStreamCall, longBrief } from "./support/caller.ts";
import type { IStreamReply } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const TOKENS = 100;
const MAY_RESET = "may reset";

let serial = 0;

describe("whole answers", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 8,
      plainService: "delivery-api",
      engineArguments: ["--token-time", "10"],
      groups: { replace_after: "60s" },
    });
  });

  after(() => deployment[Symbol.asyncDispose]());

  afterEach(async () => {
    for (const engine of deployment.processNames("engine-")) {
      deployment.process(engine).signal("SIGCONT");
      deployment.link(`target>${engine}`).setMode(LinkMode.Pass);
      await deployment.setFault(engine, StreamFault.None);
    }
    await deployment.waitUntilServing();
  });

  function caller(id: string, tokens = TOKENS) {
    const address = deployment.process(DAEMON).listeningField("callers");
    return longBrief(address, { id, tokens });
  }

  function freshId(): string {
    serial += 1;
    return `whole-${serial}`;
  }

  /** An answer must be whole and the caller's own, or plainly broken off. */
  function check(reply: IStreamReply, id: string, may = "be whole"): void {
    const whole = wholeText(`story ${id}`, TOKENS);
    expect(whole.startsWith(reply.text), "a prefix of its own").to.equal(true);
    if (may === MAY_RESET && reply.wasReset) {
      expect(reply.isWhole).to.equal(false);
      return;
    }
    expect(reply).to.include({ isWhole: true, wasReset: false, text: whole });
  }

  async function deeds(engine: string): Promise<readonly IEngineLogEntry[]> {
    const record = await deployment.fetchRecord<{
      deeds: readonly IEngineLogEntry[];
    }>(engine);
    return record.deeds;
  }

  /** The member that has begun a request, once one has. */
  async function leaderOf(id: string): Promise<string> {
    let leader = "";
    await waitFor(`${id} has begun`, async () => {
      for (const engine of deployment.processNames("engine-")) {
        const began = (await deeds(engine)).some(
          ({ kind, requestId }) => kind === "began" && requestId === id,
        );
        leader = began ? engine : leader;
      }
      return leader !== "";
    });
    return leader;
  }

  /** Starts a stream and waits until its first text has come. */
  async function begin(
    id: string,
  ): Promise<{ reply: Promise<IStreamReply>; leader: string }> {
    let hasText = false;
    const onFirstText = () => {
      hasText = true;
    };
    const reply = sendStreamCall({ ...caller(id), onFirstText });
    await waitFor(`${id} has text`, () => hasText);
    return { reply, leader: await leaderOf(id) };
  }

  /** The members of the group that an engine is in. */
  async function groupOf(engine: string): Promise<readonly string[]> {
    const { groups } = await deployment.status(DAEMON);
    return groups.find(({ members }) => members.includes(engine))!.members;
  }

  const FAULTS = [
    // The engine's connection breaks in the middle of an answer.
    StreamFault.Reset,
    // The engine closes its answer early, as if it were whole.
    StreamFault.EndEarly,
    // An event of another request's answer comes in between.
    StreamFault.ForeignEvent,
    // An event is delivered twice, or never, or does not parse.
    StreamFault.DuplicateEvent,
    StreamFault.MissingEvent,
    StreamFault.MalformedEvent,
  ];
  for (const fault of FAULTS) {
    it(`are sent though an engine's stream meets ${fault}`, async () => {
      for (const engine of deployment.processNames("engine-")) {
        await deployment.setFault(engine, fault);
      }
      const id = freshId();
      check(await sendStreamCall(caller(id)), id);
      const buffered = freshId();
      const reply = await sendCall({
        ...caller(buffered),
        operation: "summarizer/headline",
      });
      expect(reply.body.answer).to.deep.equal({
        text: wholeText(`story ${buffered}`, TOKENS),
        tokens: TOKENS,
      });
    });
  }

  // Every group breaks off at the same place, time and again. The caller must
  // see a broken connection: a plain close would look like a short answer.
  it("are never feigned when all groups break off", async () => {
    for (const engine of deployment.processNames("engine-")) {
      await deployment.setFault(engine, StreamFault.ResetAlways);
    }
    const id = freshId();
    const reply = await sendStreamCall(caller(id));
    expect(reply).to.include({ isWhole: false, wasReset: true });
    check(reply, id, MAY_RESET);
    const buffered = await sendCall({
      ...caller(freshId()),
      operation: "summarizer/headline",
    });
    expect(buffered.body).to.include({
      outcome: "unknown",
      reason: "target_lost",
    });
    const { output } = deployment.process(DAEMON);
    expect(output).to.match(new RegExp(`request=${id} .*outcome=unknown`));
  });

  // The engine that streams is paused by its host, and wakes up later to go on
  // with an answer that has long been finished by another group.
  it("are sent though the engine is paused, and later wakes", async () => {
    const id = freshId();
    const { reply, leader } = await begin(id);
    deployment.process(leader).signal("SIGSTOP");
    check(await reply, id);
    deployment.process(leader).signal("SIGCONT");
    await deployment.waitUntilServing();
    const next = freshId();
    check(await sendStreamCall(caller(next)), next);
  });

  // A member other than the one that streams dies: the rest cannot go on.
  it("are sent though a member is lost during the stream", async () => {
    const id = freshId();
    const { reply, leader } = await begin(id);
    const other = (await groupOf(leader)).find((name) => name !== leader)!;
    deployment.process(other).signal("SIGSTOP");
    check(await reply, id);
    const began = (await deeds(leader)).filter(
      ({ kind, requestId }) => kind === "began" && requestId === id,
    );
    expect(began).to.have.length(1);
  });

  // Something between daemon and engines has lost track of the connections
  // open now: they stay silent for good, while new ones work.
  it("are sent though open connections go silent", async () => {
    const id = freshId();
    const { reply } = await begin(id);
    for (const engine of deployment.processNames("engine-")) {
      deployment.link(`target>${engine}`).setMode(LinkMode.SilentExisting);
    }
    const next = freshId();
    const replies = await Promise.all([reply, sendStreamCall(caller(next))]);
    check(replies[0], id);
    check(replies[1], next);
  });

  // The way to one engine goes silent, also for new connections.
  it("are sent though the way to the engine goes silent", async () => {
    const id = freshId();
    const { reply, leader } = await begin(id);
    deployment.link(`target>${leader}`).setMode(LinkMode.Silent);
    check(await reply, id);
  });

  // The caller hangs up. Its tokens would be made for nobody, in the place of
  // those that others wait for.
  it("are cancelled at the engine when the caller leaves", async () => {
    const id = freshId();
    const leaving = new AbortController();
    const call = { ...caller(id, 1_000), signal: leaving.signal };
    const reply = sendStreamCall(call).catch(() => null);
    const leader = await leaderOf(id);
    leaving.abort();
    await reply;
    await waitFor("the engine has cancelled it", async () =>
      (await deeds(leader)).some(
        ({ kind, requestId }) => kind === "cancelled" && requestId === id,
      ),
    );
  });
});
