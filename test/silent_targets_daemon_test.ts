/** Calls at a daemon whose targets are silent for a while, and then go on. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import { CallFault } from "../src/stand_ins/plain_service/call_fault_injector.ts";
import { longBrief, sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const SERVICE = `service-${ZONE}`;
const TOKENS = 100;

/** Milliseconds, well before the callers' deadlines. */
const PLAIN_SILENCE = 3_500;
const ENGINE_SILENCE = 20_000;

describe("calls at a daemon whose targets are silent for a while", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 8,
      plainService: "delivery-api",
      engineArguments: ["--token-time", "20"],
      groups: { replace_after: "60s" },
    });
  });

  after(() => deployment[Symbol.asyncDispose]());

  function callersAddress(): string {
    return deployment.process(DAEMON).listeningField("callers");
  }

  // Guards against a call that fails after two seconds of silence although its
  // only target answers before the deadline.
  it("are answered by a plain target that answers late", async () => {
    await deployment.setFault(SERVICE, CallFault.PauseBeforeRun);
    const answer = sendCall({
      address: callersAddress(),
      credential: "editor-desk-secret",
      operation: "delivery-api/feed",
      body: { page: 1 },
    });
    await sleep(PLAIN_SILENCE);
    await deployment.setFault(SERVICE, CallFault.None);
    expect((await answer).status).to.equal(200);
  });

  // Guards against a started stream that ends after some silent attempts,
  // although its engines go on before its deadline.
  it("are answered whole by engines that stand still and go on", async () => {
    const id = "silent";
    let hasText = false;
    const reply = sendStreamCall({
      ...longBrief(callersAddress(), { id, tokens: TOKENS }),
      onFirstText: () => (hasText = true),
    });
    await waitFor("it has text", () => hasText);
    const engines = deployment.processNames("engine-");
    engines.forEach((name) => deployment.process(name).signal("SIGSTOP"));
    await sleep(ENGINE_SILENCE);
    engines.forEach((name) => deployment.process(name).signal("SIGCONT"));
    const { text, isWhole } = await reply;
    expect({ text, isWhole }).to.deep.equal({
      text: wholeText(`story ${id}`, TOKENS),
      isWhole: true,
    });
  });
});
