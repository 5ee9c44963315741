/**
 * Processor time and memory of idle daemons as real processes, and their calls
 * to the platform at rest, during an outage and after it. Run `npm run build`
 * first, since the processes are started from dist/.
 */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { Deployment } from "../test/support/deployment.ts";
import { printFit, round } from "./support/linear_fit.ts";
import type { IPoint } from "./support/linear_fit.ts";

/** Daemons and engines per zone, in two zones; below 40 processes in all. */
const SIZES: readonly { readonly daemons: number; readonly engines: number }[] =
  [
    { daemons: 1, engines: 4 },
    { daemons: 3, engines: 4 },
    { daemons: 3, engines: 12 },
    { daemons: 6, engines: 4 },
  ];
const ZONES: readonly string[] = ["vn-north-a", "vn-north-b"];
/** Milliseconds until daemons are at rest. */
const SETTLE = 5_000;
/** Milliseconds. */
const MEASURED = 10_000;
/** Milliseconds that each of the outage and the time after it is measured. */
const OUTAGE = 15_000;
const DAEMONS_AT_TARGET = 330;

/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100;
const PAGE_KILOBYTES = 4;

type Counts = Readonly<Record<string, number>>;

interface IProcessUsage {
  readonly seconds: number;
  readonly megabytes: number;
}

/** Runs the measurement. */
export async function run(): Promise<void> {
  const points = { calls: [], time: [], memory: [] } as Record<
    string,
    IPoint[]
  >;
  for (const size of SIZES) {
    await measure(size, points);
  }
  const of = "daemons";
  const at = DAEMONS_AT_TARGET;
  printFit("platform calls at rest", points.calls!, {
    unit: "calls/s",
    of,
    at,
  });
  printFit("processor time of a daemon", points.time!, {
    unit: "% of a core",
    of,
    at,
  });
  printFit("memory of a daemon", points.memory!, { unit: "MB", of, at });
}

async function measure(
  size: { readonly daemons: number; readonly engines: number },
  points: Record<string, IPoint[]>,
): Promise<void> {
  await using deployment = await Deployment.start({
    example: "song_lam",
    zones: ZONES,
    daemonsPerZone: size.daemons,
    enginesPerZone: size.engines,
    plainService: "delivery-api",
    polling: { targets: "500ms" },
  });
  const daemons = deployment.processNames("daemon-");
  const pids = daemons.map((daemon) => deployment.process(daemon).pid);
  await sleep(SETTLE);
  const before = pids.map(readProcessUsage);
  const rest = await measureCallRates(deployment, MEASURED);
  const after = pids.map(readProcessUsage);
  const time = mean(
    after.map((use, index) => use.seconds - before[index]!.seconds),
  );
  const share = (100 * time) / (MEASURED / 1_000);
  const memory = mean(after.map(({ megabytes }) => megabytes));
  const calls = total(rest);
  points.calls?.push({ x: daemons.length, y: calls });
  points.time?.push({ x: daemons.length, y: share });
  points.memory?.push({ x: daemons.length, y: memory });
  console.log(
    `${daemons.length} daemons, ${size.engines} engines a zone: ` +
      `${round(share)} % of a core and ${round(memory)} MB a daemon, ` +
      `${round(calls)} platform calls/s (${formatRates(rest)})`,
  );
  for (const mode of [LinkMode.Cut, LinkMode.Pass]) {
    daemons.forEach((daemon) =>
      deployment.link(`platform<${daemon}`).setMode(mode),
    );
    const within = await measureCallRates(deployment, OUTAGE);
    const name = mode === LinkMode.Cut ? "in the outage" : "after it";
    console.log(`  ${name}: ${round(total(within))} calls/s arrive`);
  }
}

async function measureCallRates(
  deployment: Deployment,
  duration: number,
): Promise<Counts> {
  const before = await readCounts(deployment);
  await sleep(duration);
  const after = await readCounts(deployment);
  const rates = Object.entries(after).map(([key, count]) => [
    key,
    (count - (before[key] ?? 0)) / (duration / 1_000),
  ]);
  return Object.fromEntries(
    // The number of waiting calls is a level, so it has no rate.
    rates.filter(([key]) => !String(key).startsWith("waiting")),
  ) as Counts;
}

async function readCounts(deployment: Deployment): Promise<Counts> {
  const url = `http://${deployment.platformAddress}/counts`;
  const answer = await request(url);
  return (await answer.body.json()) as Counts;
}

function readProcessUsage(pid: number): IProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const statm = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ");
  const pages = Number(statm[1]);
  return {
    seconds: ticks / TICKS_PER_SECOND,
    megabytes: (pages * PAGE_KILOBYTES) / 1_000,
  };
}

function total(counts: Counts): number {
  return Object.values(counts).reduce((sum, rate) => sum + rate, 0);
}

function formatRates(counts: Counts): string {
  return Object.entries(counts)
    .filter(([, rate]) => rate > 0)
    .map(([key, rate]) => `${key.trim()} ${round(rate)}`)
    .join(", ");
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
