/**
 * `npm run bench -- quarantine` measures what the quarantine of prompt parts
 * costs: a call while nothing is quarantined and while much is, by the number of
 * its parts, and the lease holder's evaluation after many crashes.
 */
import { performance } from "node:perf_hooks";
import { CrashEvidence } from "../src/common/quarantine/crash_evidence.ts";
import { CrashWitness } from "../src/common/quarantine/crash_witness.ts";
import { QuarantineList } from "../src/common/quarantine/quarantine_list.ts";
import type { IQuarantineEntry } from "../src/common/quarantine/types.ts";
import { sendOf } from "../test/support/quarantine_fleet.ts";
import { ManualClock } from "../test/support/manual_clock.ts";
import { RecordingLog } from "../test/support/recording_services.ts";

const CALLS = 100_000;
const ROUNDS = 5;
const MICROSECONDS = 1_000;
const SERVICE = "summaries";
const ENTRIES = 1_000;
const CRASHES = 100;
const PARTS_IN_CRASH = 60;
/** Calls between two checks of a process with 2,000 calls a second. */
const CALLS_PER_CHECK = 100;

function partsOf(count: number, call: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `part-${index}-${call}`);
}

/** Returns the median time of an action, microseconds. */
function median(action: () => void, repeats: number): number {
  const times = Array.from({ length: ROUNDS }, () => {
    const startedAt = performance.now();
    action();
    return ((performance.now() - startedAt) * MICROSECONDS) / repeats;
  });
  return times.sort((one, other) => one - other)[ROUNDS >> 1] ?? 0;
}

/** A call that is checked, begins, and proves its parts sound. */
function timeOfCall(entries: number, partCount: number): number {
  const list = new QuarantineList();
  list.add(
    Array.from({ length: entries }, (_, index): IQuarantineEntry => {
      const parts = [`bad-${index}`];
      const times = { since: 0, until: Number.MAX_SAFE_INTEGER };
      return { service: SERVICE, parts, crashes: 4, isSaved: true, ...times };
    }),
  );
  const clock = new ManualClock();
  const witness = new CrashWitness({
    engines: { fetchReport: () => Promise.reject(new Error("not asked")) },
    startOf: () => 1,
    clock,
    log: new RecordingLog(),
    onCrash: () => undefined,
    onRequestCrashes: () => Promise.resolve(),
    onProof: () => undefined,
  });
  const calls = Array.from({ length: 1_000 }, (_, call) =>
    sendOf("engine-1", partsOf(partCount, call % 200)),
  );
  return median(() => {
    for (let call = 0; call < CALLS; call += 1) {
      const send = calls[call % calls.length];
      if (send !== undefined) {
        list.find(SERVICE, send.call.promptParts);
        witness.recordBegin(send, () => true);
      }
      if (call % CALLS_PER_CHECK === 0) {
        clock.advance(50);
        witness.check();
      }
    }
  }, CALLS);
}

function timeOfEvaluation(): number {
  const evidence = new CrashEvidence();
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const entries = partsOf(PARTS_IN_CRASH, crash % 20).map((part) => {
      return [part, { calls: 1, newCalls: 1 }] as const;
    });
    const suspects = Object.fromEntries(entries);
    const report = { serial: crash, target: `engine-${crash}`, startedAt: 1 };
    evidence.record({ ...report, service: SERVICE, age: 0, suspects }, crash);
  }
  const repeats = 20;
  return median(() => {
    for (let count = 0; count < repeats; count += 1) {
      evidence.suspects(5_000);
      evidence.findCauses([], 5_000);
    }
  }, repeats);
}

export async function run(): Promise<void> {
  const base = timeOfCall(0, 3);
  const full = timeOfCall(ENTRIES, 3);
  console.log(`call, ${ENTRIES} entries to none: ${(full / base).toFixed(2)}`);
  for (const partCount of [3, 12, 48]) {
    const time = timeOfCall(0, partCount);
    console.log(`call of ${partCount} parts, no entry: ${time.toFixed(2)} us`);
  }
  console.log(`call of 3 parts, ${ENTRIES} entries: ${full.toFixed(2)} us`);
  const evaluation = timeOfEvaluation() / MICROSECONDS;
  console.log(`evaluation, ${CRASHES} crashes: ${evaluation.toFixed(2)} ms`);
}
