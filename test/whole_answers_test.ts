/**
 * Guards against a truncated or foreign answer that looks complete. Every
 * caller must get the complete answer to its own request, or a reset connection
 * and an outcome in the log. The engines' text depends only on prompt and
 * position, so the expected answer is known; their records show where it ran.
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

  function briefCall(id: string, tokens = TOKENS) {
    const address = deployment.process(DAEMON).listeningField("callers");
    return longBrief(address, { id, tokens });
  }

  function nextId(): string {
    serial += 1;
    return `whole-${serial}`;
  }

  /** Asserts that an answer is complete and the caller's own, or was reset. */
  function expectAnswer(
    reply: IStreamReply,
    id: string,
    allowed = "be whole",
  ): void {
    const whole = wholeText(`story ${id}`, TOKENS);
    expect(whole.startsWith(reply.text), "prefix of its text").to.equal(true);
    if (allowed === MAY_RESET && reply.wasReset) {
      expect(reply.isWhole).to.equal(false);
      return;
    }
    expect(reply).to.include({ isWhole: true, wasReset: false, text: whole });
  }

  async function fetchLogEntries(
    engine: string,
  ): Promise<readonly IEngineLogEntry[]> {
    const record = await deployment.fetchRecord<{
      deeds: readonly IEngineLogEntry[];
    }>(engine);
    return record.deeds;
  }

  /** Waits until a member has begun a request, and returns it. */
  async function waitForLeader(id: string): Promise<string> {
    let leader = "";
    await waitFor(`${id} has begun`, async () => {
      for (const engine of deployment.processNames("engine-")) {
        const began = (await fetchLogEntries(engine)).some(
          ({ kind, requestId }) => kind === "began" && requestId === id,
        );
        leader = began ? engine : leader;
      }
      return leader !== "";
    });
    return leader;
  }

  /** Starts a stream and waits for its first text. */
  async function startStream(
    id: string,
  ): Promise<{ reply: Promise<IStreamReply>; leader: string }> {
    let hasText = false;
    const onFirstText = () => {
      hasText = true;
    };
    const reply = sendStreamCall({ ...briefCall(id), onFirstText });
    await waitFor(`${id} has text`, () => hasText);
    return { reply, leader: await waitForLeader(id) };
  }

  /** The members of the group that an engine belongs to. */
  async function groupOf(engine: string): Promise<readonly string[]> {
    const { groups } = await deployment.status(DAEMON);
    return groups.find(({ members }) => members.includes(engine))!.members;
  }

  const FAULTS = [
    // The engine's connection breaks in the middle of an answer.
    StreamFault.Reset,
    // The engine closes its answer early, as if it were complete.
    StreamFault.EndEarly,
    // An event of another request's answer is inserted.
    StreamFault.ForeignEvent,
    // An event is duplicated, is lost or cannot be parsed.
    StreamFault.DuplicateEvent,
    StreamFault.MissingEvent,
    StreamFault.MalformedEvent,
  ];
  for (const fault of FAULTS) {
    it(`are sent though an engine's stream has the fault ${fault}`, async () => {
      for (const engine of deployment.processNames("engine-")) {
        await deployment.setFault(engine, fault);
      }
      const id = nextId();
      expectAnswer(await sendStreamCall(briefCall(id)), id);
      const buffered = nextId();
      const reply = await sendCall({
        ...briefCall(buffered),
        operation: "summarizer/headline",
      });
      expect(reply.body.answer).to.deep.equal({
        text: wholeText(`story ${buffered}`, TOKENS),
        tokens: TOKENS,
      });
    });
  }

  // Every group's stream breaks at the same position on each attempt. The
  // caller must see a reset: an ordinary close would look like a short answer.
  it("are never faked when the streams of all groups break", async () => {
    for (const engine of deployment.processNames("engine-")) {
      await deployment.setFault(engine, StreamFault.ResetAlways);
    }
    const id = nextId();
    const reply = await sendStreamCall(briefCall(id));
    expect(reply).to.include({ isWhole: false, wasReset: true });
    expectAnswer(reply, id, MAY_RESET);
    const buffered = await sendCall({
      ...briefCall(nextId()),
      operation: "summarizer/headline",
    });
    expect(buffered.body).to.include({
      outcome: "unknown",
      reason: "target_lost",
    });
    const { output } = deployment.process(DAEMON);
    expect(output).to.match(new RegExp(`request=${id} .*outcome=unknown`));
  });

  // The streaming engine is paused, and resumes later with an answer that
  // another group has already finished.
  it("are sent though the engine is paused, and later resumes", async () => {
    const id = nextId();
    const { reply, leader } = await startStream(id);
    deployment.process(leader).signal("SIGSTOP");
    expectAnswer(await reply, id);
    deployment.process(leader).signal("SIGCONT");
    await deployment.waitUntilServing();
    const next = nextId();
    expectAnswer(await sendStreamCall(briefCall(next)), next);
  });

  // A member other than the streaming one stops, so its group cannot continue.
  it("are sent though a member is lost during the stream", async () => {
    const id = nextId();
    const { reply, leader } = await startStream(id);
    const other = (await groupOf(leader)).find((name) => name !== leader)!;
    deployment.process(other).signal("SIGSTOP");
    expectAnswer(await reply, id);
    const began = (await fetchLogEntries(leader)).filter(
      ({ kind, requestId }) => kind === "began" && requestId === id,
    );
    expect(began).to.have.length(1);
  });

  // A device between daemon and engines loses the state of open connections:
  // they stay silent forever, while new ones work.
  it("are sent though open connections go silent", async () => {
    const id = nextId();
    const { reply } = await startStream(id);
    for (const engine of deployment.processNames("engine-")) {
      deployment.link(`target>${engine}`).setMode(LinkMode.SilentExisting);
    }
    const next = nextId();
    const replies = await Promise.all([reply, sendStreamCall(briefCall(next))]);
    expectAnswer(replies[0], id);
    expectAnswer(replies[1], next);
  });

  // The path to one engine goes silent, also for new connections.
  it("are sent though the path to the engine goes silent", async () => {
    const id = nextId();
    const { reply, leader } = await startStream(id);
    deployment.link(`target>${leader}`).setMode(LinkMode.Silent);
    expectAnswer(await reply, id);
  });

  // The caller disconnects. Generating its remaining tokens would take capacity
  // from other callers.
  it("are cancelled at the engine when the caller leaves", async () => {
    const id = nextId();
    const callerAbort = new AbortController();
    const call = { ...briefCall(id, 1_000), signal: callerAbort.signal };
    const reply = sendStreamCall(call).catch(() => null);
    const leader = await waitForLeader(id);
    callerAbort.abort();
    await reply;
    await waitFor("the engine has cancelled it", async () =>
      (await fetchLogEntries(leader)).some(
        ({ kind, requestId }) => kind === "cancelled" && requestId === id,
      ),
    );
  });
});
