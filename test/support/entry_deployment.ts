/** One entry process beside in-memory stand-ins of the users' platform. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { stringify } from "yaml";
import type { EntrySettingsInput } from "../../src/entry/settings.ts";
import { freeAddress } from "./free_address.ts";
import { PlatformEngine } from "./platform_engine.ts";
import { PlatformStore } from "./platform_store.ts";
import { ProcessHandle, waitFor } from "./process_handle.ts";

/** Events of a complete stream. */
export const EVENTS = 30;
const ENGINES = 5;

/** A configuration with one engine service. */
export function configuration(
  version: number,
  extra: readonly object[] = [],
): object {
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
export class EntryDeployment {
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
    const settings: EntrySettingsInput = {
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
    options: {
      readonly path?: string;
      readonly key?: string;
      /** Tokens of the prompt, and the maximum of the output. */
      readonly tokens?: string;
    } = {},
  ): Promise<{
    readonly status: number;
    readonly retryAfter: string;
    readonly text: string;
  }> {
    const { path = "/briefs/1", key = "key-1", tokens = "100,150" } = options;
    const answer = await request(`http://${this.callers}${path}`, {
      method: "POST",
      headers: {
        host: "news.example",
        authorization: `Bearer ${key}`,
        "x-attempt-id": id,
        "x-model": "small",
        "x-token-counts": tokens,
        "x-deadline-ms": "8000",
      },
      body: "text",
    });
    return {
      status: answer.statusCode,
      retryAfter: String(answer.headers["retry-after"]),
      text: await answer.body.text(),
    };
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
