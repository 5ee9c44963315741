/** Requests to daemons whose prompts crash the engines that answer them. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { longBrief, sendStreamCall } from "./support/caller.ts";
import type { IStreamReply } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const ENGINES = 24;
const REQUESTS = 12;

/** Engines that may crash before the cause is known. */
const MAXIMUM_CRASHES = 6;

/** Engines that one request may crash over all its attempts. */
const OWN_CRASHES = 3;

/** Attempts of its caller. */
const OWN_ATTEMPTS = 6;

/** Milliseconds between two requests: more than a decision takes. */
const PAUSE = 700;

const TOKENS = 20;

describe("requests to a daemon with a part that crashes engines", () => {
  let deployment: Deployment;
  let serial = 0;

  function send(
    daemon: string,
    sections: readonly string[],
  ): Promise<IStreamReply> {
    serial += 1;
    const address = deployment.process(daemon).listeningField("callers");
    const call = longBrief(address, { id: `call-${serial}`, tokens: TOKENS });
    return sendPrompt(call, [...sections, `own ${serial}`]);
  }

  function sendPrompt(
    call: ReturnType<typeof longBrief>,
    sections: readonly string[],
  ): Promise<IStreamReply> {
    const prompt = sections.join("\n\n");
    const body = { prompt, maximum_tokens: TOKENS };
    return sendStreamCall({ ...call, body });
  }

  function crashedEngines(): number {
    const names = deployment.processNames("engine-");
    return names.filter((name) => deployment.process(name).hasExited).length;
  }

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: ENGINES,
      plainService: "delivery-api",
      engineArguments: ["--crash-on", "bad", "--token-time", "5"],
    });
  });

  after(() => deployment[Symbol.asyncDispose]());

  // Guards against a request that crashes one engine after the other, since
  // lost engines are held against the targets only and never against requests.
  it("reach no further engines once it is known", async () => {
    let quarantined = 0;
    for (let count = 0; count < REQUESTS; count += 1) {
      const reply = await send(DAEMON, ["system", "bad"]);
      quarantined += reply.refusal.includes("quarantined") ? 1 : 0;
      await sleep(PAUSE);
    }
    expect(crashedEngines()).to.be.within(1, MAXIMUM_CRASHES);
    expect(quarantined).to.be.greaterThan(0);
    await waitFor("a sound request is answered", async () => {
      const reply = await send(DAEMON, ["system"]);
      expect(reply.refusal).to.not.include("quarantined");
      return reply.isWhole;
    });
  });

  // Guards against a part that crashes engines again at each daemon.
  it("are refused by a daemon that starts later", async () => {
    const crashed = crashedEngines();
    const name = `daemon-${ZONE}-1`;
    await deployment.startDaemon(name, ZONE);
    await waitFor("the new daemon answers", async () => {
      return (await send(name, ["system"])).isWhole;
    });
    const reply = await send(name, ["system", "bad"]);
    expect(reply.refusal).to.include("quarantined");
    expect(crashedEngines()).to.equal(crashed);
  });

  // Guards against a request that ends two engines in each attempt of its
  // caller, since only parts that other requests share are suspects.
  it("stop at three engines if the part is the request's own", async () => {
    const crashed = crashedEngines();
    let quarantined = 0;
    for (let attempt = 0; attempt < OWN_ATTEMPTS; attempt += 1) {
      serial += 1;
      const address = deployment.process(DAEMON).listeningField("callers");
      const call = longBrief(address, { id: `call-${serial}`, tokens: TOKENS });
      const reply = await sendPrompt(call, ["system", "bad"]);
      quarantined += reply.refusal.includes("quarantined") ? 1 : 0;
      await sleep(PAUSE);
    }
    expect(crashedEngines() - crashed).to.be.within(1, OWN_CRASHES);
    expect(quarantined).to.be.greaterThan(0);
    await waitFor("a sound request is answered", async () => {
      return (await send(DAEMON, ["system"])).isWhole;
    });
  });
});
