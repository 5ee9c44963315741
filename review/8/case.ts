/**
 * A key is taken away from a client that calls a public route. The process
 * knows the key no longer, and passes it on to the runner.
 */
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

const CLIENT_KEY = "key-of-a-reader";
const CALLS = 60;

async function play(deployment: Deployment, record: Record): Promise<Exit> {
  const { store } = deployment;
  const configure = (version: number, apiKeys: readonly string[]) => {
    store.put("config", "main", {
      version,
      routes: [route("notices", "safe", { service: "delivery", public: true })],
      services: services(12),
      limits: LIMITS,
      tenants: [{ name: "desk", apiKeys }],
    });
    record.add(`config ${version} acknowledged, keys ${apiKeys.join(" ")}`);
  };
  configure(1, [KEY, CLIENT_KEY]);
  const runners = [0, 1, 2].map(
    (index) => new PlainRunner(`p-${index}`, "delivery", record.add),
  );
  await Promise.all(runners.map((runner) => runner.listen(store)));
  const entry = await deployment.startEntry("front-a-1");
  await until("the process is ready", () => isReady(entry));
  for (let call = 1; call <= CALLS; call += 1) {
    if (call === CALLS / 2 && HAS_TROUBLE) {
      configure(2, [KEY]);
    }
    const id = `attempt-${call}`;
    const { status } = await send(entry.callers, "/notices/1", {
      id,
      method: "GET",
      headers: { authorization: `Bearer ${CLIENT_KEY}` },
    });
    record.add(`answer ${id} ${status}`);
    await sleep(50);
  }
  const runs = runners.flatMap((runner) => runner.runs);
  const leaked = runs.filter(({ headers }) => "authorization" in headers);
  for (const { attempt, runner, headers } of leaked) {
    const { authorization } = headers;
    record.add(`KEY ${attempt} at ${runner}: authorization ${authorization}`);
  }
  record.add(`runs ${runs.length} with a key ${leaked.length}`);
  runners.forEach((runner) => runner.close());
  if (runs.length < CALLS / 2) {
    return Exit.NotRun;
  }
  return leaked.length > 0 ? Exit.Broken : Exit.Held;
}

void runCase(process.argv[2] ?? ".", play);
