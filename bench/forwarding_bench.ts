/**
 * `npm run bench -- forwarding` measures what the forwarding path costs: a send
 * while all targets are in reach, with and without it, and a call that is
 * forwarded over HTTP, by its number of events.
 */
import { RequestMemory } from "../src/common/calls/request_memory.ts";
import { AnswerMemory } from "../src/common/calls/answer_memory.ts";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ForwardingHandlers } from "../src/adapters/forwarding/forwarding_handlers.ts";
import { HttpPeerLink } from "../src/adapters/forwarding/http_peer_link.ts";
import { SystemClock } from "../src/adapters/clock/system_clock.ts";
import { listenOn } from "../src/adapters/listen.ts";
import type {
  ICallSender,
  IResponseReceiver,
} from "../src/common/calls/types.ts";
import { DirectSender } from "../src/common/forwarding/direct_sender.ts";
import { ForwardedRequests } from "../src/common/forwarding/forwarded_requests.ts";
import { ForwardingPeers } from "../src/common/forwarding/forwarding_peers.ts";
import { ForwardingSender } from "../src/common/forwarding/forwarding_sender.ts";
import { TargetReach } from "../src/common/forwarding/target_reach.ts";
import { OrderOutcome } from "../src/common/replicas/types.ts";
import { callOf, RecordingReceiver } from "../test/support/call_fixtures.ts";
import { SERVICE, targetsOf } from "../test/support/forwarding_fixtures.ts";
import { SUCCESS_HEAD } from "../test/support/model_calls_harness.ts";
import { RecordingLog } from "../test/support/recording_services.ts";
import { SeededRandom } from "../test/support/seeded_random.ts";
import { inputBarrier } from "../test/support/event_loop_fixtures.ts";

const SENDS = 200_000;
const FORWARDED_CALLS = 2_000;
const EVENTS = 34;
const ROUNDS = 5;
const MICROSECONDS = 1_000;

const EVENT = new TextEncoder().encode("id: 1\ndata: a piece of text\n\n");
const TARGET = { id: "one-0", address: "10.0.0.1:80" };

/** Answers each call at once with so many events. */
function answeringSender(events: number): ICallSender {
  return {
    send: (_target, _call, { receiver }) => {
      receiver.onHead(SUCCESS_HEAD);
      for (let event = 0; event < events; event += 1) {
        receiver.onData(EVENT);
      }
      receiver.onEnd();
      return { abort: () => undefined };
    },
  };
}

/** Answers each call with events that arrive one by one. */
function streamingSender(events: number): ICallSender {
  return {
    send: (_target, _call, { receiver }) => {
      void (async () => {
        receiver.onHead(SUCCESS_HEAD);
        for (let event = 0; event < events; event += 1) {
          await nextTurn();
          receiver.onData(EVENT);
        }
        receiver.onEnd();
      })();
      return { abort: () => undefined };
    },
  };
}

const IGNORING_RECEIVER: IResponseReceiver = {
  onHead: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
  onFailure: () => undefined,
};

function forwardingSender(direct: ICallSender, link: HttpPeerLink) {
  const clock = new SystemClock();
  const random = new SeededRandom(20261203);
  const log = new RecordingLog();
  const reach = new TargetReach({
    prober: { probe: () => Promise.resolve(true) },
    readyTargets: () => targetsOf(["one"], 60),
    ...{ clock, random, log, zone: "one" },
    onLost: () => undefined,
  });
  return new ForwardingSender({
    direct: new DirectSender(direct, reach),
    reach,
    peers: new ForwardingPeers({ link, clock, random, log, zone: "one" }),
    ...{ link, clock, log },
  });
}

/** Processor time of one call, microseconds: the median of some rounds. */
function timeOfSend(sender: ICallSender): number {
  const call = callOf({ service: SERVICE });
  const options = {
    timeLeft: 5_000,
    lastEventId: null,
    needsNewConnection: false,
    receiver: IGNORING_RECEIVER,
  };
  const times = Array.from({ length: ROUNDS }, () => {
    const startedAt = performance.now();
    for (let sent = 0; sent < SENDS; sent += 1) {
      sender.send(TARGET, call, options);
    }
    return ((performance.now() - startedAt) * MICROSECONDS) / SENDS;
  });
  return times.sort((left, right) => left - right)[ROUNDS >> 1] ?? 0;
}

/** Processor time of both processes for one forwarded call, microseconds. */
async function timeOfForwardedCall(
  link: HttpPeerLink,
  events: number,
): Promise<number> {
  const handlers = new ForwardingHandlers({
    received: new RequestMemory(350),
    log: new RecordingLog(),
    requests: new ForwardedRequests({
      sender: streamingSender(events),
      engines: {
        fetchReport: () => Promise.reject(new Error("not measured")),
        sendOrder: () => Promise.resolve(OrderOutcome.Accepted),
      },
      findTarget: () => targetsOf(["one"], 1)[0] ?? null,
      reach: { isOutOfReach: () => false, outOfReach: [] },
      clock: new SystemClock(),
      log: new RecordingLog(),
      lag: () => 0,
      maximumCalls: 1_000,
    }),
    crashes: { handle: () => [] },
    barrier: inputBarrier(),
    memory: new AnswerMemory(),
  });
  const server = createServer((request, response) => {
    handlers.handle(request, response);
  });
  const address = await listenOn(server, "127.0.0.1:0");
  const call = callOf({ service: SERVICE });
  const before = process.cpuUsage();
  for (let sent = 0; sent < FORWARDED_CALLS; sent += 1) {
    const receiver = Object.assign(new RecordingReceiver(), {
      onRefused: () => undefined,
    });
    link.send(
      address,
      {
        target: TARGET.id,
        call,
        timeLeft: 5_000,
        lastEventId: null,
        needsNewConnection: false,
      },
      receiver,
    );
    await receiver.finished;
    await nextTurn();
  }
  const { user, system } = process.cpuUsage(before);
  server.closeAllConnections();
  server.close();
  return (user + system) / FORWARDED_CALLS;
}

/** Prints the costs. */
export async function run(): Promise<void> {
  await using link = new HttpPeerLink(inputBarrier());
  const direct = answeringSender(EVENTS);
  const without = timeOfSend(direct);
  const withPath = timeOfSend(forwardingSender(direct, link));
  console.log(`ratio of a send in reach: ${(withPath / without).toFixed(2)}`);
  console.log(`without the path: ${without.toFixed(2)} us a call`);
  console.log(`with the path: ${withPath.toFixed(2)} us a call`);
  const short = await timeOfForwardedCall(link, 1);
  const long = await timeOfForwardedCall(link, EVENTS);
  const perEvent = (long - short) / (EVENTS - 1);
  console.log(`forwarded call of 1 event: ${short.toFixed(0)} us, both ends`);
  console.log(`forwarded call of ${EVENTS} events: ${long.toFixed(0)} us`);
  console.log(`each further event: ${perEvent.toFixed(1)} us`);
}
