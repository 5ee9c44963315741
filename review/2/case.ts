/**
 * A runner leaves without a word shortly after a waiting watch of the lease
 * holder was cut off. The other process goes on sending requests to it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  CONFIGURATION,
  headersOf,
  LOAD_TIMES,
  SAFE_PATH,
  STREAM_PATH,
} from "../support/configuration.ts";
import { CannotRunError, Fleet, send, waitFor } from "../support/fleet.ts";
import type { EntryProcess } from "../support/fleet.ts";
import { Record } from "../support/record.ts";
import { HAS_TROUBLE, runCase } from "../support/run_case.ts";
import { Store } from "../support/store.ts";
import { Engine, PlainTarget } from "../support/targets.ts";
import type { IRun } from "../support/targets.ts";

/** The bound `drainMs`, milliseconds. */
const DRAIN_TIME = 2_000;

/** Milliseconds for which the runner serves on after its entry is gone. */
const LINGERING_TIME = 8_000;

/** Milliseconds from the cut of the watch until the runner leaves. */
const LEAVING_DELAY = 1_000;

/** Milliseconds between two requests to one process. */
const SEND_PERIOD = 50;

const record = new Record();
const store = new Store();
const runs: IRun[] = [];
const parts = { store, record, onRun: (run: IRun) => void runs.push(run) };
const engines = Array.from(
  { length: 4 },
  (_, index) =>
    new Engine(`i-engine-${index}`, {
      service: "summaries",
      parts,
      loadTimes: LOAD_TIMES,
    }),
);
const plain = Array.from(
  { length: 3 },
  (_, index) => new PlainTarget(`i-plain-${index}`, "delivery", parts),
);
const fleet = new Fleet(store, record);
/** By attempt, the process that took the request. */
const takenBy = new Map<string, string>();
let attempts = 0;

async function sendTo(
  entry: EntryProcess,
  path: string,
  isStream = false,
): Promise<number> {
  attempts += 1;
  const attempt = `attempt-${attempts}`;
  takenBy.set(attempt, entry.name);
  record.add("sent", { attempt, process: entry.name, path });
  const { status } = await send(entry.callers, {
    path,
    method: isStream ? "POST" : "GET",
    headers: headersOf(attempt, { isStream }),
    body: isStream ? "text" : "",
  });
  record.add("answered", { attempt, process: entry.name, status });
  return status;
}

async function startAll(): Promise<readonly EntryProcess[]> {
  store.put("config", "main", CONFIGURATION);
  await Promise.all([...engines, ...plain].map((one) => one.start()));
  const holder = await fleet.start("front-a-1");
  await waitFor("a holder", () => holder.has("lease_acquired"));
  const others = [
    await fleet.start("front-a-2"),
    await fleet.start("front-a-3"),
  ];
  const entries = [holder, ...others];
  for (const entry of entries) {
    await waitFor(
      `${entry.name} serves streams`,
      async () => (await sendTo(entry, STREAM_PATH, true)) === 200,
    );
  }
  await waitFor("the others hear the holder", () =>
    others.every((one) => one.has("relay_heard")),
  );
  return entries;
}

async function run(): Promise<boolean> {
  const entries = await startAll();
  const [holder] = entries;
  const [leaving] = plain;
  if (holder === undefined || leaving === undefined) {
    throw new CannotRunError("nothing was started");
  }
  const timer = setInterval(() => {
    entries.forEach((entry) => void sendTo(entry, SAFE_PATH));
  }, SEND_PERIOD);
  await sleep(3_000);
  if (HAS_TROUBLE) {
    await waitFor(
      "a watch waits",
      () => store.cutWatches(holder.store, "servers") > 0,
    );
    record.add("watch_cut", { process: holder.name });
  }
  await sleep(LEAVING_DELAY);
  leaving.leaveUnannounced();
  const removedAt = record.now;
  await sleep(LINGERING_TIME);
  clearInterval(timer);
  leaving.stop();
  record.add("runner_ended", { target: leaving.id });
  const late = runs.filter(
    ({ target, at, attempt }) =>
      target === leaving.id &&
      at > removedAt + DRAIN_TIME &&
      takenBy.get(attempt) !== holder.name,
  );
  for (const { attempt, at } of late) {
    const after_ms = Math.round(at - removedAt);
    const process = takenBy.get(attempt);
    record.add("late", { attempt, process, after_ms });
  }
  return late.length > 0;
}

await runCase(
  {
    record,
    fleet,
    stop: () => {
      [...engines, ...plain].forEach((one) => one.stop());
      store.close();
    },
  },
  run,
);
