/**
 * `npm run bench -- barrier` measures what the input barrier costs a process
 * that is not behind: processor time of a call, with that of its target in the
 * same process, and time to its first byte, one call after the other.
 */
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { SystemClock } from "../src/adapters/clock/system_clock.ts";
import { listenOn } from "../src/adapters/listen.ts";
import { BarrierSender } from "../src/common/calls/barrier_sender.ts";
import type { IInputBarrier } from "../src/common/calls/input_barrier.ts";
import { TargetClient } from "../platform/target_client.ts";
import { callOf, RecordingReceiver } from "../test/support/call_fixtures.ts";
import { inputBarrier } from "../test/support/event_loop_fixtures.ts";

const CALLS = 500;
/** Odd, so that one round is the median. */
const ROUNDS = 9;
const MICROSECONDS = 1_000;

/** Lets everything through at once. */
const NO_BARRIER: IInputBarrier = {
  wait: (callback) => {
    callback();
    return { dispose: () => undefined };
  },
  pass: () => Promise.resolve(),
};

/** Microseconds a call. */
interface ICost {
  readonly processor: number;
  readonly firstByte: number;
}

async function measure(
  address: string,
  barrier: IInputBarrier,
  needsNewConnection: boolean,
): Promise<ICost> {
  const clock = new SystemClock();
  await using client = new TargetClient(barrier);
  const sender = new BarrierSender({ sender: client, barrier, clock });
  let firstBytes = 0;
  const before = process.cpuUsage();
  for (let sent = 0; sent < CALLS; sent += 1) {
    const receiver = new RecordingReceiver();
    const sentAt = performance.now();
    const options = {
      timeLeft: 5_000,
      lastEventId: null,
      needsNewConnection,
      receiver,
    };
    sender.send({ id: "i-1", address }, callOf(), options);
    await receiver.finished;
    firstBytes += performance.now() - sentAt;
  }
  const { user, system } = process.cpuUsage(before);
  return {
    processor: (user + system) / CALLS,
    firstByte: (firstBytes * MICROSECONDS) / CALLS,
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[ROUNDS >> 1] ?? 0;
}

/** Prints the costs. */
export async function run(): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    response.end("done");
  });
  const address = await listenOn(server, "127.0.0.1:0");
  for (const isNew of [false, true]) {
    const name = isNew ? "new connections" : "kept connections";
    const without: ICost[] = [];
    const withBarrier: ICost[] = [];
    // In turns, so that both meet the same load of the machine.
    for (let round = 0; round < ROUNDS; round += 1) {
      without.push(await measure(address, NO_BARRIER, isNew));
      withBarrier.push(await measure(address, inputBarrier(), isNew));
    }
    const processor = (costs: readonly ICost[]) =>
      median(costs.map((cost) => cost.processor));
    const firstByte = (costs: readonly ICost[]) =>
      median(costs.map((cost) => cost.firstByte));
    const ratio = processor(withBarrier) / processor(without);
    console.log(`${name}: ratio of processor time ${ratio.toFixed(2)}`);
    for (const [label, costs] of [
      ["without", without],
      ["with the barrier", withBarrier],
    ] as const) {
      const time = processor(costs).toFixed(0);
      const wait = firstByte(costs).toFixed(0);
      console.log(`  ${label}: ${time} us a call, ${wait} us to the answer`);
    }
  }
  server.closeAllConnections();
  server.close();
}
