/** The entry process, while it stops and still receives calls. */
import { expect } from "chai";
import { EntryDeployment } from "./support/entry_deployment.ts";
import { waitFor } from "./support/process_handle.ts";

/** Events of a stream of 7.6 s, which is longer than calls get after SIGTERM. */
const LONG_STREAM = 380;

/** Tokens of its prompt and its output. */
const LONG_TOKENS = "100,1900";

async function stop(platform: EntryDeployment): Promise<void> {
  platform.entry?.signal("SIGTERM");
  await waitFor("the process stops", () => {
    const output = platform.entry?.output ?? "";
    return output.includes("event=stopping");
  });
}

describe("calls that arrive while the entry process stops", () => {
  // Guards against a stream that is taken after SIGTERM though it cannot end
  // within the grace period, and is cut at its end.
  it("refuses a stream that cannot end, and does not run it", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    for (const engine of platform.engines) {
      engine.eventCount = LONG_STREAM;
    }
    await stop(platform);
    const { status, retryAfter, text } = await platform
      .sendCall("late", { tokens: LONG_TOKENS })
      .catch((error: unknown) => ({
        status: 0,
        retryAfter: "",
        text: String(error),
      }));
    const runs = platform.engines.flatMap((engine) => engine.runs);
    expect({ status, text }).to.deep.equal({
      status: 503,
      text: '{"error":"stopping"}',
    });
    expect(Number(retryAfter)).to.be.greaterThan(0);
    expect(runs).to.not.include("late");
    await platform.entry?.waitForExit();
  });

  // Guards against refusals of calls that end in time: until the balancer has
  // removed the process, they are as well served here as elsewhere.
  it("serves a stream that ends in time", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    await stop(platform);
    const { status } = await platform.sendCall("late");
    expect(status).to.equal(200);
    await platform.entry?.waitForExit();
  });
});
