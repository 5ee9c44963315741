/** The entry process against in-memory stand-ins of the users' platform. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { request } from "undici";
import { stringify } from "yaml";
import type { EntrySettings } from "../src/entry/settings.ts";
import { freeAddress } from "./support/free_address.ts";
import { PlatformEngine } from "./support/platform_engine.ts";
import { PlatformStore } from "./support/platform_store.ts";
import { ProcessHandle, waitFor } from "./support/process_handle.ts";

const EVENTS = 30;
const ENGINES = 5;

function configuration(version: number, extra: readonly object[] = []): object {
  const model = { name: "small", size: 2, share: 1, pace: 1 };
  return {
    version,
    routes: [
      {
        name: "briefs",
        host: "news.example",
        pathPrefix: "/briefs/",
        kind: "stream",
        timeoutMs: 8_000,
        sloMs: 400,
        priority: 1,
        service: "summaries",
        maxAttempts: 2,
        resumable: true,
        gapTargetMs: 300,
      },
      ...extra,
    ],
    services: [
      {
        name: "summaries",
        engine: {
          slots: 12,
          kvCapacity: 1_000_000,
          stride: 5,
          models: [{ ...model, loadS: 0.2, warmS: 0.1 }],
          step_ms: 4,
          read_per_s: 45_900,
          chunk: 2_048,
          report_lag_ms: 0,
          loadsPerS: 5,
          formMs: 50,
        },
      },
    ],
    limits: {},
    tenants: [{ name: "desk", apiKeys: ["key-1"] }],
  };
}

/** One entry process, its store, and the engines of one domain. */
class EntryDeployment {
  readonly store = new PlatformStore();
  readonly engines: readonly PlatformEngine[];
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberryledge-entry-"));
  entry: ProcessHandle | null = null;
  callers = "";
  readiness = "";

  constructor() {
    this.engines = Array.from(
      { length: ENGINES },
      (_, index) => new PlatformEngine(`i-${index}`, "summaries", EVENTS),
    );
  }

  async start(): Promise<void> {
    const store = await this.store.listen();
    this.store.put("config", "main", configuration(1));
    await Promise.all(this.engines.map((one) => one.listen(this.store)));
    this.callers = await freeAddress();
    this.readiness = await freeAddress();
    const inner = await freeAddress();
    const settings: EntrySettings = {
      instance: { name: "entry", zone: "north-a", address: "127.0.0.1" },
      listen: {
        callers: this.callers,
        readiness: this.readiness,
        inner_port: Number(inner.split(":")[1]),
      },
      store: { address: store },
      zones: { "north-a": "north" },
      heartbeat_ms: 1_200,
      first_start: true,
      bounds: {
        grace_s: 8,
        repeat_ratio: 0.2,
        repeat_window_s: 10,
        repeat_slack: 100,
        stall_ms: 5_000,
        load_window_s: 5,
        load_factor: 1.1,
      },
    };
    const file = join(this.#folder, "entry.yaml");
    writeFileSync(file, stringify(settings));
    this.entry = await ProcessHandle.start("entry", "entry/main.js", [file]);
    await waitFor("the process is ready", async () => {
      const answer = await request(`http://${this.readiness}/readyz`);
      await answer.body.dump();
      return answer.statusCode === 200;
    });
  }

  async sendCall(
    id: string,
    options: { readonly path?: string; readonly key?: string } = {},
  ): Promise<{ readonly status: number; readonly text: string }> {
    const { path = "/briefs/1", key = "key-1" } = options;
    const answer = await request(`http://${this.callers}${path}`, {
      method: "POST",
      headers: {
        host: "news.example",
        authorization: `Bearer ${key}`,
        "x-attempt-id": id,
        "x-model": "small",
        "x-token-counts": "100,150",
        "x-deadline-ms": "8000",
      },
      body: "text",
    });
    return { status: answer.statusCode, text: await answer.body.text() };
  }

  /** Sends calls until a group answers one. */
  async waitForOneGroup(): Promise<void> {
    let attempts = 0;
    await waitFor("a group serves", async () => {
      attempts += 1;
      return (await this.sendCall(`first-${attempts}`)).status === 200;
    });
  }

  /** Sends calls until two engines have run some, so that two groups serve. */
  async waitForTwoGroups(): Promise<void> {
    let attempts = 0;
    await waitFor("two groups serve", async () => {
      attempts += 1;
      await this.sendCall(`spread-${attempts}`);
      return this.engines.filter(({ runs }) => runs.length > 0).length > 1;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.entry?.[Symbol.asyncDispose]();
    rmSync(this.#folder, { recursive: true });
    await Promise.all(this.engines.map((one) => one[Symbol.asyncDispose]()));
    await this.store[Symbol.asyncDispose]();
  }
}

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
