/**
 * A runner is cut off from the store, crashes and starts again under another id
 * at its address. When the cut ends, a heartbeat of its former life still lands,
 * and both ids are listed. The process forms a group of the two.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Engine } from "../support-2/engine.ts";
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

const SIZE = 4;
/** Milliseconds, as on the site. */
const REPORT_LAG = 200;
const SLOTS = 4;
const CALLERS = 20;
/** Tokens of a call; an event holds five. */
const OUTPUT = 50;
const EVENT_PERIOD = 40;
/** Milliseconds: three heartbeats, and the cut from the store. */
const EXPIRY = 3_600;
const CUT = 10_000;
/** Milliseconds until the crashed runner starts again. */
const RESTART = 300;
/** Milliseconds after the cut at which the late heartbeat lands. */
const LATENESS = 3_000;
const ROUNDS = 4;

async function play(deployment: Deployment, record: Record): Promise<Exit> {
  const { store } = deployment;
  const options = { service: "summarizer", gapTargetMs: 300 };
  store.put("config", "main", {
    version: 1,
    routes: [route("briefs", "stream", { ...options, resumable: true })],
    services: services(SLOTS, SIZE, REPORT_LAG),
    limits: LIMITS,
    tenants: [{ name: "desk", apiKeys: [KEY] }],
  });
  const ready = new Set<string>();
  let broken = 0;
  const create = (id: string) => {
    const engine = new Engine(
      {
        ...{ id, service: "summarizer", zone: "north-a", domain: "d-0" },
        ...{ slots: SLOTS, queue: 24, eventPeriod: EVENT_PERIOD },
        ...{ loadTime: 2_000, warmTime: 500, openTime: 300 },
      },
      record.add,
    );
    engine.onReady = (group, epoch) => ready.add(`${id} ${group} ${epoch}`);
    engine.onRun = (group, epoch, members) => {
      const absent = members.filter(
        (member) => !ready.has(`${member} ${group} ${epoch}`),
      );
      if (absent.length > 0) {
        broken += 1;
        record.add(
          `PARTIAL ${group} of ${members.join()} runs a call, and ${absent.join()} was never ready in it`,
        );
      }
    };
    return engine;
  };
  const engines = Array.from({ length: 2 * SIZE - 1 }, (_, index) =>
    create(`i-${index}`),
  );
  await Promise.all(engines.map((engine) => engine.listen(store)));
  const entry = await deployment.startEntry("front-a-1");
  await until("the process is ready", () => isReady(entry));
  await until("a group serves", () => engines.some(({ isOpen }) => isOpen));
  let isOver = false;
  let calls = 0;
  const caller = async () => {
    while (!isOver) {
      calls += 1;
      const id = `attempt-${calls}`;
      const answer = await send(entry.callers, "/briefs/1", {
        id,
        headers: { "x-model": "m0", "x-token-counts": `100,${OUTPUT}` },
        body: "text",
      });
      record.add(`answer ${id} ${answer.status} ${answer.text.length} bytes`);
      await sleep(200);
    }
  };
  const callers = Array.from({ length: CALLERS }, () => caller());
  await sleep(6_000);
  for (let round = 0; round < ROUNDS && broken === 0; round += 1) {
    // The last spare runner, so that another one is the head.
    const spares = engines.filter(
      ({ group }) => group === null || group.startsWith("warm-"),
    );
    const [spare] = spares.slice(-1);
    if (spare === undefined) {
      break;
    }
    if (!HAS_TROUBLE) {
      await sleep(CUT);
      continue;
    }
    const { entry: heartbeat, address } = spare;
    const { id } = spare.options;
    const next = create(`i-9${round}`);
    record.add(`${id} is cut off from the store, and crashes`);
    spare.close();
    await sleep(RESTART);
    await next.open(Number(address.split(":")[1]));
    record.add(`it starts again at ${address} as ${next.options.id}`);
    await sleep(EXPIRY);
    store.remove("servers", id);
    await sleep(CUT - EXPIRY - RESTART);
    next.register(store);
    record.add("the cut ends");
    engines.splice(engines.indexOf(spare), 1, next);
    await sleep(LATENESS);
    store.put("servers", id, heartbeat);
    record.add(`a late heartbeat of ${id} lands`);
    await sleep(EXPIRY);
    store.remove("servers", id);
    record.add(`the entry of ${id} expires`);
    await sleep(2_000);
  }
  isOver = true;
  await Promise.all(callers);
  const runs = engines.flatMap((engine) => engine.runs).length;
  record.add(`calls ${calls} runs ${runs} broken ${broken}`);
  engines.forEach((engine) => engine.close());
  if (runs === 0) {
    return Exit.NotRun;
  }
  return broken > 0 ? Exit.Broken : Exit.Held;
}

void runCase(process.argv[2] ?? ".", play);
