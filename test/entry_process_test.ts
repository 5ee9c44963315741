/** The entry process against in-memory stand-ins of the users' platform. */
import { expect } from "chai";
import {
  configuration,
  EntryDeployment,
  EVENTS,
} from "./support/entry_deployment.ts";
import { waitFor } from "./support/process_handle.ts";

function idsOf(text: string): readonly number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

const ALL_EVENT_IDS = Array.from({ length: EVENTS }, (_, index) => index + 1);

describe("the entry process on the users' platform", () => {
  it("forms groups and forwards a complete stream", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    const { status, text } = await platform.sendCall("attempt-1");
    expect(status).to.equal(200);
    expect(idsOf(text)).to.deep.equal(ALL_EVENT_IDS);
  });

  it("rejects unknown routes and keys, and applies new versions", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    expect((await platform.sendCall("a", { path: "/else/1" })).status).to.equal(
      404,
    );
    expect((await platform.sendCall("b", { key: "other" })).status).to.equal(
      401,
    );
    const route = {
      name: "else",
      host: "news.example",
      pathPrefix: "/else/",
      kind: "stream",
      timeoutMs: 300,
      sloMs: 100,
      service: "nowhere",
    };
    platform.store.put("config", "main", configuration(2, [route]));
    await waitFor("the new route is known", async () => {
      const { status } = await platform.sendCall("c", { path: "/else/1" });
      return status === 503;
    });
  });

  // Guards against calls refused because the store is down: the known routes
  // and groups stay valid.
  it("keeps serving while the store is unavailable", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    platform.store.isUnavailable = true;
    const { status, text } = await platform.sendCall("attempt-1");
    expect(status).to.equal(200);
    expect(idsOf(text)).to.deep.equal(ALL_EVENT_IDS);
    platform.store.isUnavailable = false;
  });

  // Guards against a broken stream when the engine that writes it stalls:
  // another group must continue it without a gap or a repeat.
  it("resumes a stream at another group", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForTwoGroups();
    const pendingAnswer = platform.sendCall("attempt-1");
    const findWriter = () =>
      platform.engines.find(({ runs }) => runs.includes("attempt-1"));
    await waitFor("an engine writes", async () => findWriter() !== undefined);
    const first = findWriter();
    if (first !== undefined) {
      first.isStalled = true;
    }
    const { status, text } = await pendingAnswer;
    expect(status).to.equal(200);
    expect(idsOf(text)).to.deep.equal(ALL_EVENT_IDS);
    const ran = platform.engines.filter(({ runs }) =>
      runs.includes("attempt-1"),
    );
    expect(ran).to.have.length(2);
  });

  // Guards against a truncated answer when an instance is replaced: its process
  // gets SIGTERM while it serves a stream.
  it("finishes a stream after SIGTERM", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    const pendingAnswer = platform.sendCall("attempt-1");
    await waitFor("an engine writes", () =>
      platform.engines.some(({ runs }) => runs.includes("attempt-1")),
    );
    platform.entry?.signal("SIGTERM");
    const { status, text } = await pendingAnswer;
    expect(status).to.equal(200);
    expect(idsOf(text)).to.deep.equal(ALL_EVENT_IDS);
    await platform.entry?.waitForExit();
  });
});
