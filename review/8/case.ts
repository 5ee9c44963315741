/**
 * Another writer leaves two entries in the list of runners whose fields have
 * another type. Processes cannot read the list from then on, and go on sending
 * to a runner that drains.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { PlainRunner } from "../support-2/plain.ts";
import {
  Exit,
  HAS_TROUBLE,
  isReady,
  KEY,
  LIMITS,
  route,
  runCase,
  send,
  services,
  until,
} from "../support-2/deployment.ts";
import type { Deployment, Record } from "../support-2/deployment.ts";

const FOREIGN_ENTRIES = 2;
/** Empty lists in a field; the entry is shorter than the longest value. */
const FOREIGN_VALUES = 280_000;
const LONGEST_VALUE = 1_048_576;

/** The installation's bound, milliseconds. */
const DRAIN_TIME = 2_000;
/** How long requests are sent after the runner began to drain, milliseconds. */
const TRAFFIC_TIME = 8_000;
const PERIOD = 40;

async function play(deployment: Deployment, record: Record): Promise<Exit> {
  const { store } = deployment;
  store.put("config", "main", {
    version: 1,
    routes: [route("feed", "safe", { service: "delivery" })],
    services: services(12),
    limits: LIMITS,
    tenants: [{ name: "desk", apiKeys: [KEY] }],
  });
  const runners = [0, 1, 2].map(
    (index) => new PlainRunner(`p-${index}`, "delivery", record.add),
  );
  await Promise.all(runners.map((runner) => runner.listen(store)));
  const entries = [
    await deployment.startEntry("front-a-1"),
    await deployment.startEntry("front-a-2"),
  ];
  for (const entry of entries) {
    await until("the process is ready", () => isReady(entry));
  }
  await sleep(4_000);
  if (HAS_TROUBLE) {
    const address = Array.from({ length: FOREIGN_VALUES }, () => []);
    const foreign = { service: "delivery", state: "ready", address };
    const { length } = JSON.stringify(foreign);
    for (let index = 0; index < FOREIGN_ENTRIES; index += 1) {
      store.put("servers", `x-${index}`, foreign);
      record.add(`another writer puts servers/x-${index}, ${length} bytes`);
    }
    if (length > LONGEST_VALUE) {
      return Exit.NotRun;
    }
  }
  await sleep(4_000);
  const [leaving] = runners;
  leaving?.drain();
  const acknowledgedAt = performance.now();
  record.add(`the store has accepted that ${leaving?.id} is draining`);
  let calls = 0;
  while (performance.now() - acknowledgedAt < TRAFFIC_TIME) {
    for (const { name, callers } of entries) {
      calls += 1;
      const id = `attempt-${calls}`;
      const options = { id, method: "GET" };
      void send(callers, "/feed/1", options).then(({ status }) => {
        record.add(`answer ${id} of ${name} ${status}`);
      });
    }
    await sleep(PERIOD);
  }
  await sleep(500);
  const late = (leaving?.runs ?? []).filter(
    ({ at }) => at - acknowledgedAt > DRAIN_TIME,
  );
  for (const { attempt, at } of late) {
    const after = Math.round(at - acknowledgedAt);
    record.add(`DRAIN ${attempt} reached ${leaving?.id} after ${after} ms`);
  }
  record.add(`calls ${calls} late ${late.length}`);
  runners.forEach((runner) => runner.close());
  const runs = runners.flatMap((runner) => runner.runs).length;
  if (runs < calls / 2) {
    return Exit.NotRun;
  }
  return late.length > 0 ? Exit.Broken : Exit.Held;
}

void runCase(process.argv[2] ?? ".", play);
