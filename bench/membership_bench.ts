/**
 * Membership in one zone of 6 to 330 daemons, with the real state machines and
 * encoding on a simulated network; the overhead of a call is measured on a real
 * connection. A zone of the target size has 37 daemons; the larger ones show
 * that bytes do not grow with the number of daemons.
 */
import { XxhashHash } from "../src/adapters/hash/xxhash_hash.ts";
import { MemberState } from "../src/common/membership/types.ts";
import { SimulatedNetwork } from "../test/support/simulated_network.ts";
import { SeededRandom } from "../test/support/seeded_random.ts";
import { printFit, round } from "./support/linear_fit.ts";
import type { IPoint } from "./support/linear_fit.ts";
import { usedHeap } from "./support/memory.ts";
import {
  encodedBytes,
  measureCallCost,
  LIST_VERSIONS,
} from "./support/peer_wire.ts";

const SIZES: readonly number[] = [6, 24, 37, 96, 330];
/** Milliseconds per node until the news of the initial joins is spread. */
const SETTLE = 1_500;
/** Milliseconds. */
const MEASURED = 30_000;
const DEATHS = 12;
/** Resolution of the time until a death is known, milliseconds. */
const DEATH_STEP = 50;
/** Milliseconds. */
const DEATH_TIMEOUT = 60_000;
const ZONE_AT_TARGET = 37;

const hash = await XxhashHash.create();

interface IMeasured {
  /** Calls made and message bytes sent, per second and node. */
  readonly calls: number;
  readonly bytes: number;
  /** Processor microseconds per second and node, including the network. */
  readonly time: number;
  /** Bytes per node. */
  readonly heap: number;
  /** Milliseconds until all other nodes know of a death. */
  readonly deaths: readonly number[];
  /** Largest number of live daemons that some node held dead. */
  readonly held: number;
}

/** Runs the measurement. */
export async function run(): Promise<void> {
  const cost = await measureCallCost();
  console.log(
    `a call: ${round(cost.overheadBytes)} B beyond its two messages, ` +
      `${round(cost.processorTime)} us of processor time at both ends`,
  );
  const points = { bytes: [], time: [], heap: [], death: [] } as Record<
    string,
    IPoint[]
  >;
  for (const size of SIZES) {
    const measured = measureZone(size, 0);
    // A call has two ends: each node sends half of all message bytes and has
    // half of the overhead of the calls that it makes and answers.
    const bytes = measured.bytes + measured.calls * cost.overheadBytes;
    const time = measured.time + measured.calls * cost.processorTime;
    const worst = Math.max(...measured.deaths);
    points.bytes?.push({ x: size, y: bytes });
    points.time?.push({ x: size, y: time / 10_000 });
    points.heap?.push({ x: size, y: measured.heap / 1_000 });
    points.death?.push({ x: size, y: worst / 1_000 });
    console.log(
      `zone of ${size}: ${round(measured.calls)} calls/s made, ` +
        `${round(bytes)} B/s sent with headers ` +
        `(${round(measured.bytes)} B/s encoded), ` +
        `${round(time / 10_000)} % of a core, death known after ` +
        `${round(median(measured.deaths) / 1_000)} s, ` +
        `at worst ${round(worst / 1_000)} s of ${DEATHS}`,
    );
  }
  const at = ZONE_AT_TARGET;
  const of = "daemons in the zone";
  printFit("bytes sent", points.bytes!, { unit: "B/s", of, at });
  printFit("processor time", points.time!, { unit: "% of a core", of, at });
  printFit("heap a node", points.heap!, { unit: "KB", of, at });
  printFit("death known, worst", points.death!, { unit: "s", of, at });
  for (const loss of [0.01, 0.05]) {
    const measured = measureZone(ZONE_AT_TARGET, loss);
    const worst = Math.max(...measured.deaths) / 1_000;
    console.log(
      `zone of ${ZONE_AT_TARGET} at ${100 * loss} % loss: ` +
        `${round(measured.bytes)} B/s encoded, ${measured.held} live ` +
        `daemons held dead at any moment of ${MEASURED / 1_000} s, ` +
        `death known at worst after ${round(worst)} s`,
    );
  }
}

function measureZone(size: number, loss: number): IMeasured {
  const before = usedHeap();
  let bytes = 0;
  let messages = 0;
  let isMeasuring = false;
  const network = new SimulatedNetwork({
    random: new SeededRandom(size),
    hash,
    lossRate: loss,
    maximumDelay: 10,
    onMessageSent: (_, message) => {
      if (isMeasuring) {
        messages += 1;
        bytes += encodedBytes({ message, versions: LIST_VERSIONS });
      }
    },
    onViewSent: (_, view) => {
      if (isMeasuring) {
        const from = view[0]!;
        const message = { from, viewHash: 0, news: view };
        bytes += encodedBytes({ message, versions: LIST_VERSIONS });
      }
    },
  });
  for (let index = 0; index < size; index++) {
    const contacts = network.nodes.slice(0, 3).map(({ member }) => member);
    const name = `entry-${index}/0b1c2d3e-4f50-6172-8394-a5b6c7d8e9f0`;
    network.addNode(name, "vn-north-a", contacts);
  }
  network.run(SETTLE * size);
  const heap = (usedHeap() - before) / size;
  isMeasuring = true;
  const started = process.cpuUsage();
  let held = 0;
  for (let step = 0; step < MEASURED / 1_000; step++) {
    network.run(1_000);
    held = Math.max(held, countFalselyDead(network));
  }
  const { user, system } = process.cpuUsage(started);
  isMeasuring = false;
  const seconds = (MEASURED / 1_000) * size;
  return {
    calls: messages / 2 / seconds,
    bytes: bytes / seconds,
    time: (user + system) / seconds,
    heap,
    deaths: measureDeaths(network),
    held,
  };
}

function countFalselyDead(network: SimulatedNetwork): number {
  return network.nodes.filter(({ member }) =>
    network.nodes.some(
      ({ membership }) =>
        membership.stateOf(member.daemon) === MemberState.Dead,
    ),
  ).length;
}

function measureDeaths(network: SimulatedNetwork): number[] {
  const times: number[] = [];
  const { nodes } = network;
  for (let index = 0; index < DEATHS; index++) {
    const dead = nodes[Math.floor((index * nodes.length) / DEATHS)]!;
    dead.isUp = false;
    const diedAt = network.now;
    const isKnown = () =>
      nodes.every(
        ({ isUp, membership }) =>
          !isUp || membership.stateOf(dead.member.daemon) === MemberState.Dead,
      );
    while (!isKnown() && network.now - diedAt < DEATH_TIMEOUT) {
      network.run(DEATH_STEP);
    }
    times.push(network.now - diedAt);
    dead.isUp = true;
    network.run(20_000);
  }
  return times;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
