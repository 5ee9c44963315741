/** Calls at a daemon whose targets are silent for a while, and then go on. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CallFault } from "../src/stand_ins/plain_service/call_fault_injector.ts";
import { sendCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const SERVICE = `service-${ZONE}`;

/** Milliseconds, well before the callers' deadlines. */
const PLAIN_SILENCE = 3_500;

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
});
