/**
 * A runner is full and sheds calls. It hands out a second copy of some of these
 * answers, late, where the next answer is expected, and runs the next call all
 * the same. That call may run once at most.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Answered, Engine } from "../support-2/engine.ts";
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

const SLOTS = 4;
const QUEUE = 2;
const EVENTS = 10;
const MACHINES = 6;
const WAVES = 12;
const CALLERS = 60;
/** Heads that hand out second answers: two of six runners. */
const FAULTY = 2;
/** Share of their answers that they repeat. */
const LARGEST_SHARE = 0.03;
/** Milliseconds between two waves. */
const PAUSE = 300;

async function play(deployment: Deployment, record: Record): Promise<Exit> {
  const { store } = deployment;
  const options = { service: "summarizer", gapTargetMs: 300 };
  store.put("config", "main", {
    version: 1,
    routes: [route("briefs", "stream", { ...options, resumable: false })],
    services: services(SLOTS),
    limits: LIMITS,
    tenants: [{ name: "desk", apiKeys: [KEY] }],
  });
  const engines = Array.from({ length: 6 }, (_, index) => {
    const id = `i-${index}`;
    return new Engine(
      {
        ...{ id, service: "summarizer", zone: "north-a", domain: "d-0" },
        ...{ slots: SLOTS, queue: QUEUE, events: EVENTS, eventPeriod: 30 },
        ...{ loadTime: 2_000, warmTime: 500, openTime: 300 },
      },
      record.add,
    );
  });
  await Promise.all(engines.map((engine) => engine.listen(store)));
  const entries = await Promise.all(
    Array.from({ length: MACHINES }, (_, index) =>
      deployment.startEntry(`front-a-${index + 1}`),
    ),
  );
  for (const entry of entries) {
    await until("the process is ready", () => isReady(entry));
  }
  const heads = () => engines.filter(({ isOpen }) => isOpen);
  await until("two groups serve", () => heads().length >= 2);
  await sleep(1_000);
  const statuses = new Map<string, number>();
  const call = async (address: string) => {
    const id = `attempt-${statuses.size + 1}`;
    statuses.set(id, 0);
    const answer = await send(address, "/briefs/1", {
      id,
      headers: { "x-model": "m0", "x-token-counts": "100,50" },
      body: "text",
    });
    statuses.set(id, answer.status);
    record.add(`answer ${id} ${answer.status} ${answer.text.length} bytes`);
  };
  for (const engine of heads().slice(0, FAULTY)) {
    let repeated = 0;
    engine.repeats = (kind) => {
      const share = (repeated + 1) / engine.answered;
      if (!HAS_TROUBLE || kind !== Answered.Shed || share > LARGEST_SHARE) {
        return false;
      }
      repeated += 1;
      return true;
    };
  }
  // Callers come in waves, so that the runners are full at the start of each.
  for (let wave = 0; wave < WAVES; wave += 1) {
    const calls = Array.from({ length: CALLERS }, (_, index) =>
      call(entries[index % entries.length]?.callers ?? ""),
    );
    await Promise.all(calls);
    await sleep(PAUSE);
  }
  const runs = new Map<string, string[]>();
  for (const { attempt, engine } of engines.flatMap((one) => one.runs)) {
    runs.set(attempt, [...(runs.get(attempt) ?? []), engine]);
  }
  const twice = [...runs].filter(([, where]) => where.length > 1);
  for (const [attempt, where] of twice) {
    record.add(`TWICE ${attempt} ran at ${where.join(" and ")}`);
  }
  const refused = [...statuses].filter(
    ([id, status]) => status === 503 && runs.has(id),
  );
  refused.forEach(([id]) => record.add(`REFUSED ${id} answered 503, and ran`));
  for (const { options, answers, extraAnswers } of engines) {
    const given = JSON.stringify(answers);
    record.add(`${options.id} answers ${given} extra ${extraAnswers}`);
  }
  record.add(
    `calls ${statuses.size} twice ${twice.length} refused ${refused.length}`,
  );
  engines.forEach((engine) => engine.close());
  if (runs.size < 100) {
    return Exit.NotRun;
  }
  return twice.length + refused.length > 0 ? Exit.Broken : Exit.Held;
}

void runCase(process.argv[2] ?? ".", play);
