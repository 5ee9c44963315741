/** A paused daemon receives no reports, which proves nothing of its targets. */
import { expect } from "chai";
import { sendCall, longBrief } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const ROUNDS = 6;
/** Twice the `freshness` of reports, milliseconds. */
const PAUSE = 1_000;

describe("a paused daemon", () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 4,
      plainService: "delivery-api",
      groups: { freshness: "500ms", replace_after: "60s" },
    });
  });

  afterEach(() => deployment[Symbol.asyncDispose]());

  // Guards against a daemon that considers all targets silent after its own
  // pause, and refuses all callers.
  it("serves calls sent during the pause", async () => {
    const daemon = deployment.process(DAEMON);
    const address = daemon.listeningField("callers");
    for (let round = 0; round < ROUNDS; round += 1) {
      daemon.signal("SIGSTOP");
      const since = Date.now();
      const replies = [0, 1, 2].map((index) =>
        sendCall({
          ...longBrief(address, { id: `${round}-${index}`, tokens: 5 }),
          operation: "summarizer/headline",
        }),
      );
      await waitFor("the pause is over", () => Date.now() - since > PAUSE);
      daemon.signal("SIGCONT");
      for (const { status, body } of await Promise.all(replies)) {
        expect(body.outcome, `${status} ${body.reason}`).to.equal("completed");
      }
    }
  });
});
