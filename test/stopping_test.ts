/** The entry process, while it stops and still receives calls. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { configuration, EntryDeployment } from "./support/entry_deployment.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Events of a stream of 7.6 s, which is longer than calls get after SIGTERM. */
const LONG_STREAM = 380;

/** Milliseconds after which the balancer has usually removed the process. */
const REMOVAL_TIME = 2_600;

/** Milliseconds that an unsafe call runs. */
const LONG_RUN = 2_000;

const UNSAFE_CALLS = 6;

/** Milliseconds until an engine begins; the process is gone by then. */
const LONG_DELAY = 12_000;

/** Tokens of its prompt and its output. */
const LONG_TOKENS = "100,1900";

async function stop(platform: EntryDeployment): Promise<void> {
  platform.entry?.signal("SIGTERM");
  await waitFor("the process stops", () => {
    const output = platform.entry?.output ?? "";
    return output.includes("event=stopping");
  });
}

async function startWithLongStreams(): Promise<EntryDeployment> {
  const platform = new EntryDeployment();
  await platform.start();
  await platform.waitForOneGroup();
  const { routes } = configuration(1) as { routes: readonly object[] };
  const route = { ...routes[0], name: "letters", pathPrefix: "/letters/" };
  const once = { ...route, resumable: false };
  platform.store.put("config", "main", configuration(2, [once]));
  await waitFor("the new route is known", async () => {
    const { status } = await platform.sendCall("known", { path: "/letters/1" });
    return status === 200;
  });
  for (const engine of platform.engines) {
    engine.eventCount = LONG_STREAM;
  }
  return platform;
}

async function expectRefused(
  platform: EntryDeployment,
  path: string,
): Promise<void> {
  const { status, retryAfter, text } = await platform
    .sendCall("late", { path, tokens: LONG_TOKENS })
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
}

describe("calls that arrive while the entry process stops", () => {
  // Guards against a stream that is taken seconds after SIGTERM though it cannot
  // end within the grace period, and is cut at its end.
  it("refuses a late stream that cannot end, and does not run it", async () => {
    await using platform = await startWithLongStreams();
    await stop(platform);
    await sleep(REMOVAL_TIME);
    await expectRefused(platform, "/briefs/1");
    await platform.entry?.waitForExit();
  });

  // Guards against the same right after SIGTERM, if no other process can go on
  // with the stream.
  it("refuses a stream that cannot end or be resumed", async () => {
    await using platform = await startWithLongStreams();
    await stop(platform);
    await expectRefused(platform, "/letters/1");
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

describe("calls that outlast a stopping entry process", () => {
  // Guards against a call that ends with a closed connection, because its engine
  // has not begun to answer when the process ends.
  it("are answered", async () => {
    await using platform = new EntryDeployment();
    await platform.start();
    await platform.waitForOneGroup();
    platform.engines.forEach((engine) => (engine.startDelay = LONG_DELAY));
    const answer = platform.sendCall("unanswered");
    await waitFor("an engine has it", () =>
      platform.engines.some(({ runs }) => runs.includes("unanswered")),
    );
    await stop(platform);
    const { status, text } = await answer;
    expect({ status, text }).to.deep.equal({
      status: 502,
      text: '{"error":"stopping"}',
    });
    await platform.entry?.waitForExit();
  });
});

describe("a process that receives further signals", () => {
  // Guards against calls that are cut because a second signal ends a process
  // that finishes them.
  it("finishes its calls after a second SIGTERM", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(1);
    const [process] = fleet.processes;
    fleet.plainTargets.forEach((one) => (one.runTime = LONG_RUN));
    const answers = fleet.statusesOf(0, Path.Unsafe, UNSAFE_CALLS);
    await waitFor("all calls run", () => {
      const runs = fleet.plainTargets.flatMap((one) => one.runs);
      return runs.length >= UNSAFE_CALLS;
    });
    process?.handle.signal("SIGTERM");
    await waitFor("it stops", () => {
      return process?.handle.output.includes("event=stopping") ?? false;
    });
    process?.handle.signal("SIGTERM");
    process?.handle.signal("SIGINT");
    expect(await answers).to.deep.equal(Array(UNSAFE_CALLS).fill(200));
    await process?.handle.waitForExit();
  });
});
