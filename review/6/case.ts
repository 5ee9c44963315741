/**
 * Runners are added while callers call. The head of their group hands out a
 * second copy of its answer to an order, late, where the next answer is
 * expected. Nothing in it names a request, and a caller gets it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Answered, Engine } from "../support-2/engine.ts";
import { Garble } from "../support-2/garble.ts";
import {
  Exit,
  isReady,
  LIMITS,
  KEY,
  route,
  runCase,
  send,
  services,
  until,
} from "../support-2/deployment.ts";
import type { Deployment, IAnswer, Record } from "../support-2/deployment.ts";

const SLOTS = 12;
const EVENTS = 10;
const CALLERS = 24;
/** Milliseconds of traffic after runners were added. */
const TRAFFIC_TIME = 10_000;

async function play(deployment: Deployment, record: Record): Promise<Exit> {
  const { store } = deployment;
  store.put("config", "main", {
    version: 1,
    routes: [
      route("briefs", "stream", {
        service: "summarizer",
        resumable: true,
        gapTargetMs: 300,
      }),
    ],
    services: services(SLOTS),
    limits: LIMITS,
    tenants: [{ name: "desk", apiKeys: [KEY] }],
  });
  const engines: Engine[] = [];
  const add = async (domain: string) => {
    const engine = new Engine(
      {
        id: `i-${engines.length}`,
        service: "summarizer",
        zone: "north-a",
        domain,
        slots: SLOTS,
        queue: 24,
        loadTime: 2_000,
        warmTime: 500,
        openTime: 300,
        eventPeriod: 40,
      },
      record.add,
    );
    engines.push(engine);
    await engine.listen(store);
    return engine;
  };
  for (let index = 0; index < 4; index += 1) {
    await add("d-0");
  }
  const entry = await deployment.startEntry("front-a-1");
  await until("the process is ready", () => isReady(entry));
  await until("a group serves", () => engines.some(({ isOpen }) => isOpen));
  await sleep(1_000);
  const wrong: string[] = [];
  let isOver = false;
  let calls = 0;
  let served = 0;
  const caller = async () => {
    while (!isOver) {
      calls += 1;
      const id = `attempt-${calls}`;
      const answer = await send(entry.callers, "/briefs/1", {
        id,
        headers: { "x-model": "m0", "x-token-counts": "100,50" },
        body: "text",
      });
      served += answer.status === 200 && answer.isComplete ? 1 : 0;
      const fault = faultOf(answer);
      record.add(`answer ${id} ${answer.status} ${answer.text.length} bytes`);
      if (fault !== null) {
        record.add(`WRONG ${id} ${fault} ${JSON.stringify(answer.headers)}`);
        wrong.push(id);
      }
      await sleep(20);
    }
  };
  const callers = Array.from({ length: CALLERS }, () => caller());
  await sleep(1_000);
  const added = [await add("d-1"), await add("d-1")];
  const garble = new Garble();
  garble.begin();
  const [old] = engines.filter(({ isOpen }) => isOpen);
  for (const engine of [...added, ...(old === undefined ? [] : [old])]) {
    engine.repeats = (kind) =>
      garble.repeats(kind === Answered.Opening && engine !== old);
  }
  await sleep(TRAFFIC_TIME);
  isOver = true;
  await Promise.all(callers);
  for (const { options, answers, extraAnswers } of engines) {
    record.add(
      `${options.id} answers ${JSON.stringify(answers)} extra ${extraAnswers}`,
    );
  }
  record.add(
    `calls ${calls} served ${served} wrong ${wrong.length} ${garble.dose}`,
  );
  engines.forEach((engine) => engine.close());
  if (served < 100) {
    return Exit.NotRun;
  }
  return wrong.length > 0 ? Exit.Broken : Exit.Held;
}

/** What is wrong with an answer that a caller takes for a success. */
function faultOf({
  status,
  headers,
  text,
  isComplete,
}: IAnswer): string | null {
  if (status < 200 || status >= 300) {
    return null;
  }
  if (headers["x-response-stamp"] === undefined) {
    return `success without a stamp: ${status}`;
  }
  const last = /id: (\d+)\n[^\n]*\n\n$/.exec(text)?.[1];
  return isComplete && Number(last) !== EVENTS
    ? `complete after ${last}`
    : null;
}

void runCase(process.argv[2] ?? ".", play);
