/**
 * A runner is full and sheds a call, and hands out a second copy of that answer,
 * late, where the next one is expected. The call comes to it again on the same
 * connection, and runs. The process reads the copy, which names that call, and
 * sends it once more. The call may run once at most.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Answered, Engine } from "../support-2/engine.ts";
import { Garble } from "../support-2/garble.ts";
import {
  Exit,
  isReady,
  KEY,
  LIMITS,
  route,
  runCase,
  send,
  services,
  until,
} from "../support-2/deployment.ts";
import type { Deployment, IEntry, Record } from "../support-2/deployment.ts";

const SLOTS = 4;
const QUEUE = 2;
const EVENT_PERIOD = 60;
/** Machines whose callers come at the same moment, and their calls. */
const CROWDED_MACHINES = 5;
const CALLS_EACH = 2;
/** Tokens of the calls of the last machine, whose engine writes 5 an event. */
const LONG_OUTPUT = 150;
const SHORT_OUTPUT = 25;
/** Milliseconds between its two calls and those of the others. */
const LATER = 100;
const ROUNDS = 34;
/** Milliseconds between the starts of two rounds. */
const ROUND_TIME = 2_500;
/** Rounds from one beginning of the disruption to the next. */
const ROUNDS_BETWEEN = 3;

/** Names of attempts. */
const LONG = "long";
const CROWD = "crowd";
const LATE = "late";

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
  const engines = [0, 1].map((index) => {
    const id = `i-${index}`;
    return new Engine(
      {
        ...{ id, service: "summarizer", zone: "north-a", domain: "d-0" },
        ...{ slots: SLOTS, queue: QUEUE },
        eventPeriod: EVENT_PERIOD,
        ...{ loadTime: 2_000, warmTime: 500, openTime: 300 },
      },
      record.add,
    );
  });
  await Promise.all(engines.map((engine) => engine.listen(store)));
  // The first process takes the lease, and asks runners for reports.
  const entries: IEntry[] = [];
  for (let index = 0; index <= CROWDED_MACHINES; index += 1) {
    const entry = await deployment.startEntry(`front-a-${index + 1}`);
    entries.push(entry);
    await until("the process is ready", () => isReady(entry));
  }
  await until("a group serves", () => engines.some(({ isOpen }) => isOpen));
  await sleep(2_000);
  const statuses = new Map<string, number>();
  const call = async ({ callers }: IEntry, name: string, tokens: number) => {
    const id = `${name}-${statuses.size + 1}`;
    statuses.set(id, 0);
    const answer = await send(callers, "/briefs/1", {
      id,
      headers: { "x-model": "m0", "x-token-counts": `100,${tokens}` },
      body: "text",
    });
    statuses.set(id, answer.status);
    record.add(`answer ${id} ${answer.status} ${answer.text.length} bytes`);
  };
  const [head] = engines.filter(({ isOpen }) => isOpen);
  const garble = new Garble();
  if (head !== undefined) {
    head.repeats = (kind, attempt) => {
      const isLate = kind === Answered.Shed && attempt?.startsWith(LATE);
      return garble.repeats(isLate === true && Math.random() < 0.5);
    };
  }
  const [last] = entries.slice(-1);
  for (let round = 0; round < ROUNDS && last !== undefined; round += 1) {
    // It lasts for two rounds, and pauses for one.
    if (round % ROUNDS_BETWEEN === 0) {
      garble.begin();
    }
    const long = call(last, LONG, LONG_OUTPUT);
    await sleep(LATER);
    const crowd = entries
      .slice(0, CROWDED_MACHINES)
      .flatMap((entry) => Array<IEntry>(CALLS_EACH).fill(entry))
      .map((entry, index) => call(entry, CROWD, 15 + 5 * (index % 3)));
    await sleep(LATER);
    const late = call(last, LATE, SHORT_OUTPUT);
    await Promise.all([long, ...crowd, late, sleep(ROUND_TIME)]);
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
  for (const { options: own, answers, extraAnswers } of engines) {
    const given = JSON.stringify(answers);
    record.add(`${own.id} answers ${given} extra ${extraAnswers}`);
  }
  record.add(garble.dose);
  record.add(
    `calls ${statuses.size} twice ${twice.length} refused ${refused.length}`,
  );
  engines.forEach((engine) => engine.close());
  if (runs.size < ROUNDS) {
    return Exit.NotRun;
  }
  return twice.length + refused.length > 0 ? Exit.Broken : Exit.Held;
}

void runCase(process.argv[2] ?? ".", play);
