/** Callers that leave while a process is short of processor time. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { LeavingCallers } from "./support/leaving_callers.ts";
import { ProcessorThrottle } from "./support/processor_throttle.ts";

const PROCESSES = 3;

/** Callers on new connections, and as many on kept ones. */
const CALLERS = 200;

/** Of calls that reach a target too late, the platform bears a few. */
const MAXIMUM_LATE = 3;

/** Seed of the callers; `LEAVING_CALLERS_SEED` names another one. */
const SEED = Number(process.env.LEAVING_CALLERS_SEED ?? 20261204);

/** Engines that run all calls at once, and that let most of them wait. */
const MANY_ENGINES = 40;
const FEW_ENGINES = 4;

function requestOf(path: Path, id: string): string {
  return [
    `POST ${path} HTTP/1.1`,
    "host: news.example",
    "authorization: Bearer key-1",
    `x-attempt-id: ${id}`,
    "x-deadline-ms: 8000",
    ...(path === Path.Stream
      ? ["x-model: small", "x-token-counts: 100,150"]
      : []),
    "content-length: 4",
    "",
    "text",
  ].join("\r\n");
}

/** Lets callers of one process leave, while a process is throttled. */
async function findLate(
  fleet: EntryFleet,
  path: Path,
  {
    called,
    throttled,
  }: { readonly called: number; readonly throttled: number },
): Promise<readonly string[]> {
  const [process, busy] = [fleet.processes[called], fleet.processes[throttled]];
  if (process === undefined || busy === undefined) {
    throw new Error("there is no such process");
  }
  const callers = new LeavingCallers({
    address: process.callers,
    requestOf: (id) => requestOf(path, id),
    count: CALLERS,
    seed: SEED,
  });
  await callers.run(() => new ProcessorThrottle(busy.handle));
  const targets = [...fleet.engines, ...fleet.plainTargets];
  const arrivals = targets.flatMap(({ timedArrivals }) => timedArrivals);
  expect(arrivals.length).to.be.greaterThan(0);
  return callers.findLate(arrivals);
}

async function startFleet(engines: number): Promise<EntryFleet> {
  const fleet = new EntryFleet(engines);
  await fleet.start(PROCESSES);
  return fleet;
}

describe("calls whose callers leave a process that is behind", () => {
  const kinds: readonly [string, Path, number][] = [
    ["streams", Path.Stream, MANY_ENGINES],
    ["waiting streams", Path.Stream, FEW_ENGINES],
    ["calls that may run once", Path.Unsafe, FEW_ENGINES],
  ];
  for (const [kind, path, engines] of kinds) {
    // Guards against targets that work for callers whose leave lies unread
    // while their calls are sent.
    it(`reach no target afterwards: ${kind}`, async () => {
      await using fleet = await startFleet(engines);
      const late = await findLate(fleet, path, { called: 1, throttled: 1 });
      expect(late.length).to.be.at.most(MAXIMUM_LATE, late.join(" "));
    });
  }

  const hops: readonly [string, number][] = [
    ["that forwards them", 1],
    ["that sends them for it", 2],
  ];
  for (const [name, throttled] of hops) {
    // Guards against a leave that lies unread in one of the two processes that
    // a forwarded call passes.
    it(`reach no target afterwards: in the process ${name}`, async () => {
      await using fleet = await startFleet(MANY_ENGINES);
      fleet.setLinks(0, LinkMode.Refuse);
      fleet.setLinks(1, LinkMode.Refuse);
      await fleet.waitUntilLost(0);
      await fleet.waitUntilLost(1);
      const late = await findLate(fleet, Path.Stream, { called: 1, throttled });
      expect(late.length).to.be.at.most(MAXIMUM_LATE, late.join(" "));
    });
  }
});
