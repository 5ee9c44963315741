/**
 * Digests of targets' reports in one zone, with the real digest tables, choice
 * of peers and encoding; the overhead of a call is measured on a real
 * connection. Runs with loads that change at each poll and with constant loads,
 * and against a baseline that sends every report in each response.
 */
import { peerApi } from "../src/adapters/peers/peer_api.ts";
import { writeDigestRow } from "../src/adapters/peers/peer_messages.ts";
import { XxhashHash } from "../src/adapters/hash/xxhash_hash.ts";
import { DigestTable } from "../src/common/membership/digest_table.ts";
import type {
  IDigestRow,
  IHeldRow,
} from "../src/common/membership/digest_types.ts";
import { choosePullSource } from "../src/common/membership/digest_ring.ts";
import { chooseByRendezvous } from "../src/common/membership/rendezvous.ts";
import { TargetState } from "../src/common/types.ts";
import type { ITimestampedReport } from "../src/common/types.ts";
import { SeededRandom } from "../test/support/seeded_random.ts";
import { printFit, round } from "./support/linear_fit.ts";
import type { IPoint } from "./support/linear_fit.ts";
import { measureCallCost } from "./support/peer_wire.ts";

/** Daemons and targets of one zone: today's, intermediate and target sizes. */
const ZONES: readonly { readonly daemons: number; readonly targets: number }[] =
  [
    { daemons: 2, targets: 21 },
    { daemons: 6, targets: 60 },
    { daemons: 37, targets: 60 },
    { daemons: 37, targets: 255 },
    { daemons: 37, targets: 1_020 },
  ];
/** Milliseconds between rounds; a daemon polls and pulls once in each. */
const PERIOD = 500;
/** Daemons that poll each target. */
const POLLERS = 2;
const SETTLE_ROUNDS = 14;
const ROUNDS = 24;
/** The baseline sends everything in each round, so a few rounds suffice. */
const BASELINE_ROUNDS = 4;
const TARGETS_AT_TARGET = 255;

const hash = await XxhashHash.create();
const { PullDigests } = peerApi.cranberryledge.Peer.service;

interface IDaemon {
  readonly name: string;
  readonly table: DigestTable;
  readonly polledTargets: readonly number[];
  readonly phase: number;
}

interface IMeasured {
  readonly bytes: number;
  /** Processor microseconds per second and daemon, without the calls. */
  readonly time: number;
  /** Ages of the reports of all targets at all daemons, milliseconds. */
  readonly ages: readonly number[];
  readonly polls: number;
}

/** Runs the measurement. */
export async function run(): Promise<void> {
  const cost = await measureCallCost();
  const calls = 1_000 / PERIOD;
  const busy: IPoint[] = [];
  const idle: IPoint[] = [];
  for (const zone of ZONES) {
    for (const isBusy of [false, true]) {
      const measured = measure(zone, { isBusy, isWhole: false });
      const whole = measure(zone, { isBusy, isWhole: true });
      const bytes = measured.bytes + calls * cost.overheadBytes;
      const time = measured.time + calls * cost.processorTime;
      const baseline = whole.bytes + calls * cost.overheadBytes;
      const sorted = [...measured.ages].sort((left, right) => left - right);
      const quantile = (share: number) =>
        round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
      if (zone.daemons === 37) {
        (isBusy ? busy : idle).push({ x: zone.targets, y: bytes });
      }
      console.log(
        `${zone.daemons} daemons, ${zone.targets} targets, ` +
          `${isBusy ? "every load changes" : "loads at rest"}: ` +
          `${round(bytes / baseline)} of the baseline's bytes, ` +
          `${round(bytes)} B/s sent with headers, ` +
          `${round(time / 10_000)} % of a core, ` +
          `${round(measured.polls)} polls/s; age of a report ` +
          `${quantile(0.5)} ms, 99 in 100 ${quantile(0.99)} ms, ` +
          `at worst ${quantile(1)} ms`,
      );
    }
  }
  const options = {
    unit: "B/s",
    of: "targets in a zone of 37",
    at: TARGETS_AT_TARGET,
  };
  printFit("bytes sent, loads at rest", idle, options);
  printFit("bytes sent, every load changes", busy, options);
}

function measure(
  zone: { readonly daemons: number; readonly targets: number },
  options: { readonly isBusy: boolean; readonly isWhole: boolean },
): IMeasured {
  const random = new SeededRandom(zone.targets);
  const daemons = createDaemons(zone, random);
  const names = daemons.map(({ name }) => name);
  const ages: number[] = [];
  let bytes = 0;
  let polls = 0;
  const rounds = options.isWhole ? BASELINE_ROUNDS : ROUNDS;
  let started = process.cpuUsage();
  for (let round = 0; round < SETTLE_ROUNDS + rounds; round++) {
    if (round === SETTLE_ROUNDS) {
      bytes = 0;
      polls = 0;
      started = process.cpuUsage();
    }
    for (const daemon of daemons) {
      const now = round * PERIOD + daemon.phase;
      const load = options.isBusy ? round : 0;
      daemon.table.publish(
        daemon.polledTargets.map((target) => createReport(target, load, now)),
      );
      polls += daemon.polledTargets.length;
      const others = names.filter((name) => name !== daemon.name);
      const source = choosePullSource(others, { self: daemon.name, round });
      const peer = daemons.find(({ name }) => name === source)!;
      const held = options.isWhole ? [] : daemon.table.heldRows(now);
      const rows = peer.table.fresherRows(held, now);
      bytes += round < SETTLE_ROUNDS ? 0 : encodedBytes(held, rows);
      daemon.table.merge(rows, now);
    }
    if (round >= SETTLE_ROUNDS) {
      ages.push(...collectAges(daemons, (round + 1) * PERIOD));
    }
  }
  const { user, system } = process.cpuUsage(started);
  const seconds = ((rounds * PERIOD) / 1_000) * daemons.length;
  return {
    bytes: bytes / seconds,
    time: (user + system) / seconds,
    ages,
    polls: polls / seconds,
  };
}

function createDaemons(
  zone: { readonly daemons: number; readonly targets: number },
  random: SeededRandom,
): readonly IDaemon[] {
  const names = Array.from(
    { length: zone.daemons },
    (_, index) => `entry-${index}/0b1c2d3e-4f50-6172-8394-a5b6c7d8e9f0`,
  );
  const own = new Map<string, number[]>(names.map((name) => [name, []]));
  for (let target = 0; target < zone.targets; target++) {
    const duty = `poll runner-${target}`;
    for (const name of chooseByRendezvous(duty, names, {
      count: POLLERS,
      hash,
    })) {
      own.get(name)?.push(target);
    }
  }
  return names
    .map((name) => ({
      name,
      table: new DigestTable(hash.hash(name)),
      polledTargets: own.get(name) ?? [],
      phase: random.next() * PERIOD,
    }))
    .sort((left, right) => left.phase - right.phase);
}

function collectAges(daemons: readonly IDaemon[], now: number): number[] {
  return daemons.flatMap((daemon) =>
    daemons.flatMap(({ name, polledTargets }) => {
      const seenAt = daemon.table.seenAt(hash.hash(name));
      return polledTargets.length === 0 || seenAt === null
        ? []
        : [now - seenAt];
    }),
  );
}

function encodedBytes(
  held: readonly IHeldRow[],
  rows: readonly IDigestRow[],
): number {
  const question = PullDigests.requestSerialize({ held: [...held] });
  const answer = PullDigests.responseSerialize({
    rows: rows.map(writeDigestRow),
  });
  return question.length + answer.length;
}

function createReport(
  target: number,
  load: number,
  seenAt: number,
): ITimestampedReport {
  const group = Math.floor(target / 4);
  return {
    seenAt,
    report: {
      instance: `runner-${target}`,
      incarnation: "0b1c2d3e-4f50-6172-8394-a5b6c7d8e9f0",
      state: TargetState.Ready,
      membership: {
        group: `vn-north-a-fabric/${group}`,
        epoch: 7,
        generation: 40 + group,
        rank: target % 4,
      },
      model: "wire-summaries-70b",
      running: (target + load) % 24,
      queued: load % 5,
      tokens: 1_000 + ((target * 7 + load * 130) % 9_000),
      lag: 200,
    },
  };
}
