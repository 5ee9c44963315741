/**
 * `npm run bench -- path` measures the latency that a daemon adds to a call,
 * compared with a direct connection to the same stand-in in the same run, with
 * real processes.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { readFileSync } from "node:fs";
import { Deployment } from "../test/support/deployment.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
/** Calls per second. */
const RATE = 350;
const CALLS = 5_000;
const MEMORY_CALLS = 20_000;
/** Microseconds per millisecond. */
const MICROSECONDS = 1_000;

/** Sends calls at a fixed rate, regardless of unanswered ones. */
async function sendAtRate(
  calls: number,
  call: () => Promise<void>,
): Promise<Histogram> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let index = 0; index < calls; index++) {
    const due = startedAt + (index * 1_000) / RATE;
    while (performance.now() < due) {
      await sleep(1);
    }
    const at = performance.now();
    running.push(
      call().then(() => {
        const taken = (performance.now() - at) * MICROSECONDS;
        histogram.recordValue(Math.round(taken));
      }),
    );
  }
  await Promise.all(running);
  return histogram;
}

function milliseconds(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS;
}

/** Resident memory of a process, megabytes. */
function residentMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? "0";
  return Number(kilobytes) / 1_024;
}

function createPost(pool: Pool, path: string, content: object, token = "") {
  const body = JSON.stringify(content);
  const headers = {
    "content-type": "application/json",
    authorization: `Bearer ${token}`,
  };
  return async (): Promise<void> => {
    const answer = await pool.request({ method: "POST", path, headers, body });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
      throw new Error(`${path} returned status ${answer.statusCode}`);
    }
  };
}

/** Prints the latency that a daemon adds, and its memory. */
export async function run(): Promise<void> {
  await using deployment = await Deployment.start({
    example: "song_lam",
    zones: [ZONE],
    daemonsPerZone: 1,
    enginesPerZone: 0,
    plainService: "delivery-api",
    serviceArguments: ["--work-time", "0"],
  });
  const daemon = deployment.process(DAEMON);
  const service = deployment.process(`service-${ZONE}`);
  await using direct = createPool(
    `http://${service.listeningField("address")}`,
  );
  await using through = createPool(
    `http://${daemon.listeningField("callers")}`,
  );
  const callDirectly = createPost(direct.pool, "/call", {
    requestId: "bench",
    operation: "feed",
    body: { page: 1 },
  });
  const callThroughDaemon = createPost(
    through.pool,
    "/v1/services/delivery-api/feed",
    { page: 1 },
    "subscriber-app-secret",
  );
  await sleep(1_000);
  await sendAtRate(1_000, callDirectly);
  await sendAtRate(1_000, callThroughDaemon);
  const directTimes = await sendAtRate(CALLS, callDirectly);
  const daemonTimes = await sendAtRate(CALLS, callThroughDaemon);
  for (const percentile of [50, 99]) {
    const throughDaemon = milliseconds(daemonTimes, percentile);
    const directly = milliseconds(directTimes, percentile);
    const ratio = (throughDaemon / directly).toFixed(2);
    const more = (throughDaemon - directly).toFixed(2);
    console.log(`buffered p${percentile} ratio ${ratio}, added ${more} ms`);
  }
  for (let half = 1; half <= 2; half++) {
    await sendAtRate(MEMORY_CALLS / 2, callThroughDaemon);
    const megabytes = residentMemory(daemon.pid).toFixed(0);
    console.log(`resident memory after half ${half}: ${megabytes} MB`);
  }
}

function createPool(origin: string): { pool: Pool } & AsyncDisposable {
  const pool = new Pool(origin, { connections: 32 });
  return { pool, [Symbol.asyncDispose]: () => pool.close() };
}
