/**
 * `npm run bench -- answer_end` measures how long answers without a length take
 * that end with their connection, compared with those that have one.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { TargetClient } from "../platform/target_client.ts";
import { fieldsOf } from "../test/support/broken_answers.ts";
import { callOf, RecordingReceiver } from "../test/support/call_fixtures.ts";
import { inputBarrier } from "../test/support/event_loop_fixtures.ts";
import { RawTarget } from "../test/support/raw_target.ts";

const CALLS = 500;

/** Milliseconds between calls; an idle process is slower on the next one. */
const PAUSE = 50;

/** Microseconds per millisecond. */
const MICROSECONDS = 1_000;

const FIELDS = fieldsOf("attempt-1", "i-1");
const BODY = "data: whole\n\n";

/** Answers by whether they have a length. */
const ANSWERS = {
  "with a length": `HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: ${BODY.length}\r\n\r\n`,
  "without a length": `HTTP/1.1 200 OK\r\n${FIELDS}\r\n`,
} as const;

/** Records when the first byte of a body arrives. */
class TimedReceiver extends RecordingReceiver {
  firstByteAt = 0;

  override onData(bytes: Uint8Array): void {
    this.firstByteAt ||= performance.now();
    super.onData(bytes);
  }
}

interface ITimes {
  readonly firstByte: Histogram;
  readonly end: Histogram;
}

/** Sends calls one after the other; records times in microseconds. */
async function measure(head: string, hasLength: boolean): Promise<ITimes> {
  await using target = new RawTarget((_, socket) => {
    socket.write(head + BODY);
    if (!hasLength) {
      socket.end();
    }
  });
  await using client = new TargetClient(inputBarrier());
  const address = await target.listen();
  const firstByte = build({ numberOfSignificantValueDigits: 3 });
  const end = build({ numberOfSignificantValueDigits: 3 });
  for (let count = 0; count < CALLS; count += 1) {
    const receiver = new TimedReceiver();
    const startedAt = performance.now();
    client.send({ id: "i-1", address }, callOf(), {
      timeLeft: 5_000,
      lastEventId: null,
      needsNewConnection: false,
      receiver,
    });
    await receiver.finished;
    if (receiver.failure !== null) {
      throw new Error(`the call failed: ${receiver.detail}`);
    }
    const record = (histogram: Histogram, at: number) =>
      histogram.recordValue(Math.round((at - startedAt) * MICROSECONDS));
    record(firstByte, receiver.firstByteAt);
    record(end, performance.now());
    await sleep(PAUSE);
  }
  return { firstByte, end };
}

function shown(histogram: Histogram): string {
  const at = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(2);
  return `p50 ${at(50)} ms, p95 ${at(95)} ms`;
}

/** Prints the times of both kinds of answers. */
export async function run(): Promise<void> {
  for (const [name, head] of Object.entries(ANSWERS)) {
    const hasLength = head === ANSWERS["with a length"];
    await measure(head, hasLength);
    const cpu = process.cpuUsage();
    const { firstByte, end } = await measure(head, hasLength);
    const { user, system } = process.cpuUsage(cpu);
    const taken = (user + system) / CALLS / MICROSECONDS;
    console.log(`${name}: first byte ${shown(firstByte)}; end ${shown(end)}`);
    console.log(`${name}: ${taken.toFixed(3)} ms of processor time a call`);
  }
}
