/**
 * Processes that send to the same targets, directly or through one another,
 * while links are cut, and processes freeze and are killed, at random.
 */
import { SendFailure } from "../../src/common/calls/types.ts";
import type {
  ICallSender,
  IListedTarget,
  IResponseReceiver,
} from "../../src/common/calls/types.ts";
import { DirectSender } from "../../src/common/forwarding/direct_sender.ts";
import { ForwardedRequests } from "../../src/common/forwarding/forwarded_requests.ts";
import { ForwardingPeers } from "../../src/common/forwarding/forwarding_peers.ts";
import { ForwardingSender } from "../../src/common/forwarding/forwarding_sender.ts";
import { TargetReach } from "../../src/common/forwarding/target_reach.ts";
import { ForwardRefusal } from "../../src/common/forwarding/types.ts";
import type {
  IForwardedSend,
  IForwardReceiver,
  IPeerLink,
} from "../../src/common/forwarding/types.ts";
import { OrderOutcome } from "../../src/common/replicas/types.ts";
import { callOf } from "./call_fixtures.ts";
import { SERVICE, settle, targetsOf } from "./forwarding_fixtures.ts";
import { ManualClock } from "./manual_clock.ts";
import { SUCCESS_HEAD } from "./model_calls_harness.ts";
import { RecordingLog } from "./recording_services.ts";
import { SeededRandom } from "./seeded_random.ts";

const PROCESSES = 4;
const TARGETS = targetsOf(["one", "two", "three"], 2);
const STEP = 10;
/** Milliseconds. */
const TRIP = 2;
const RUN_TIME = 40;
const CONNECT_TIMEOUT = 250;

/** Milliseconds without a change after which each call must be served. */
const STABLE_TIME = 3_000;

enum LinkState {
  Open = "open",
  Refusing = "refusing",
  Silent = "silent",
}

/** What became of one call. */
interface ICallRecord {
  readonly id: string;
  runs: number;
  end: SendFailure | "whole" | null;
  /** Whether its process had a path, as all had been stable for long enough. */
  readonly mustBeServed: boolean;
}

class SoakProcess {
  readonly name: string;
  links = LinkState.Open;
  isFrozen = false;
  isDead = false;
  readonly sender: ForwardingSender;
  readonly requests: ForwardedRequests;
  readonly peers: ForwardingPeers;
  readonly #soak: ForwardingSoak;
  readonly #reach: TargetReach;

  constructor(name: string, soak: ForwardingSoak) {
    this.name = name;
    this.#soak = soak;
    const { clock, random } = soak;
    const log = new RecordingLog();
    const zone = "one";
    this.#reach = new TargetReach({
      prober: { probe: () => this.#probe() },
      readyTargets: () => TARGETS,
      ...{ clock, random, log, zone },
      onLost: () => undefined,
    });
    const link = soak.linkOf(this);
    this.peers = new ForwardingPeers({ link, clock, random, log, zone });
    const direct = new DirectSender(this.#targetSender(), this.#reach);
    const reach = this.#reach;
    const peers = this.peers;
    this.sender = new ForwardingSender({
      ...{ direct, reach, peers, link, clock, log },
    });
    this.requests = new ForwardedRequests({
      sender: direct,
      engines: {
        fetchReport: () => Promise.reject(new Error("not used")),
        sendOrder: () => Promise.resolve(OrderOutcome.Accepted),
      },
      findTarget: (id) => TARGETS.find((target) => target.id === id) ?? null,
      ...{ reach, clock, log },
      lag: () => 0,
      maximumCalls: 1_000,
    });
  }

  get isUp(): boolean {
    return !this.isDead && !this.isFrozen;
  }

  recordSilence(target: IListedTarget): void {
    this.#reach.recordNoAnswer(SERVICE, target.id);
  }

  async #probe(): Promise<boolean> {
    const isAnswered = this.links === LinkState.Open;
    const silence = this.links === LinkState.Silent ? CONNECT_TIMEOUT : 0;
    await this.#soak.wait(2 * TRIP + silence);
    return isAnswered;
  }

  /** The links to all targets share one state. */
  #targetSender(): ICallSender {
    return {
      send: (_target, { id }, { receiver }) => {
        const { clock } = this.#soak;
        let isAborted = false;
        const unlessGone = (action: () => void) => () => {
          if (!isAborted && !this.isDead) {
            action();
          }
        };
        const fail = (failure: SendFailure) => () =>
          receiver.onFailure(failure, this.links);
        if (this.links !== LinkState.Open) {
          const isSilent = this.links === LinkState.Silent;
          const delay = isSilent ? CONNECT_TIMEOUT : TRIP;
          clock.after(delay, unlessGone(fail(SendFailure.NotSent)));
        } else {
          clock.after(
            TRIP,
            unlessGone(() => this.#soak.recordRun(id)),
          );
          clock.after(
            TRIP + RUN_TIME,
            unlessGone(() => this.#answer(receiver)),
          );
        }
        return { abort: () => (isAborted = true) };
      },
    };
  }

  #answer(receiver: IResponseReceiver): void {
    if (this.links === LinkState.Refusing) {
      receiver.onFailure(SendFailure.Broken, "reset");
    } else if (this.links === LinkState.Open) {
      receiver.onHead(SUCCESS_HEAD);
      receiver.onEnd();
    }
  }
}

/** Runs calls and faults for a seed, and checks what callers get. */
export class ForwardingSoak {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly calls: ICallRecord[] = [];
  readonly #byId = new Map<string, ICallRecord>();
  readonly #processes: SoakProcess[];
  #changedAt = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.#processes = Array.from(
      { length: PROCESSES },
      (_, index) => new SoakProcess(`process-${index}`, this),
    );
    this.#updatePeers();
  }

  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP) {
      if (this.random.next() < 0.004) {
        this.#change();
      }
      if (this.random.next() < 0.4) {
        this.#submit();
      }
      await this.#step();
    }
    this.#processes.forEach((one) => (one.isFrozen = false));
    for (let passed = 0; passed < STABLE_TIME; passed += STEP) {
      await this.#step();
    }
  }

  /** What the promises forbid, in words. */
  get findings(): readonly string[] {
    return this.calls.flatMap((call) => {
      const { id, runs, end, mustBeServed } = call;
      const saidNotRun =
        end === SendFailure.NotSent || end === SendFailure.Unreachable;
      return [
        ...(runs > 1 ? [`${id} ran ${runs} times`] : []),
        ...(saidNotRun && runs > 0 ? [`${id} ran, and ended ${end}`] : []),
        ...(mustBeServed && end !== "whole" ? [`${id} ended ${end}`] : []),
      ];
    });
  }

  recordRun(id: string): void {
    const call = this.#byId.get(id);
    if (call !== undefined) {
      call.runs += 1;
    }
  }

  wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(milliseconds, resolve);
    });
  }

  /** The link of a process to the others. */
  linkOf(from: SoakProcess): Pick<IPeerLink, "send" | "ping"> {
    return {
      send: (address, send, receiver) =>
        this.#forward(from, address, { send, receiver }),
      ping: async (address, timeout) => {
        await this.wait(2 * TRIP);
        const peer = this.#find(address);
        if (peer?.isUp !== true) {
          await this.wait(timeout);
          return null;
        }
        return peer.requests.outOfReach;
      },
    };
  }

  #forward(
    from: SoakProcess,
    address: string,
    sent: {
      readonly send: IForwardedSend;
      readonly receiver: IForwardReceiver;
    },
  ) {
    const { send, receiver } = sent;
    const peer = this.#find(address);
    let isAborted = false;
    let abortAtPeer: () => void = () => undefined;
    const back = (action: () => void) => {
      this.clock.after(TRIP, () => {
        if (!isAborted && !from.isDead) {
          action();
        }
      });
    };
    const arrive = () => {
      if (isAborted || from.isDead) {
        return;
      }
      if (peer === undefined || peer.isDead) {
        back(() => receiver.onRefused(ForwardRefusal.NotConnected, ""));
      } else if (peer.isFrozen) {
        this.clock.after(STEP, arrive);
      } else {
        const refusal = peer.requests.refusalOf(send);
        if (refusal !== null) {
          back(() => receiver.onRefused(refusal, ""));
          return;
        }
        const handle = peer.requests.send(send, {
          onHead: (head) => back(() => receiver.onHead(head)),
          onData: (bytes) => back(() => receiver.onData(bytes)),
          onEnd: () => back(() => receiver.onEnd()),
          onFailure: (failure, detail) =>
            back(() => receiver.onFailure(failure, detail)),
        });
        abortAtPeer = () => handle.abort();
      }
    };
    this.clock.after(TRIP, arrive);
    return {
      abort: () => {
        isAborted = true;
        abortAtPeer();
      },
    };
  }

  #find(address: string): SoakProcess | undefined {
    return this.#processes.find(({ name }) => name === address);
  }

  #change(): void {
    this.#changedAt = this.clock.now();
    const index = Math.floor(this.random.next() * PROCESSES);
    const process = this.#processes[index];
    const choice = this.random.next();
    if (process === undefined) {
      return;
    }
    if (choice < 0.35) {
      process.links = LinkState.Refusing;
    } else if (choice < 0.6) {
      process.links = LinkState.Silent;
    } else if (choice < 0.8) {
      process.links = LinkState.Open;
    } else if (choice < 0.9) {
      process.isFrozen = !process.isFrozen;
    } else {
      process.isDead = true;
      this.#processes[index] = new SoakProcess(process.name, this);
      this.#updatePeers();
    }
  }

  #updatePeers(): void {
    for (const { name, peers } of this.#processes) {
      const others = this.#processes.filter((one) => one.name !== name);
      peers.update(others.map((one) => ({ address: one.name, zone: "one" })));
    }
  }

  #submit(): void {
    const chosen = Math.floor(this.random.next() * PROCESSES);
    const process = this.#processes[chosen];
    const target = TARGETS[Math.floor(this.random.next() * TARGETS.length)];
    if (process?.isUp !== true || target === undefined) {
      return;
    }
    const isStable = this.clock.now() - this.#changedAt > STABLE_TIME;
    const hasPath = this.#processes.some(
      (one) => one.isUp && one.links === LinkState.Open,
    );
    const call: ICallRecord = {
      id: `call-${this.calls.length}`,
      runs: 0,
      end: null,
      mustBeServed: isStable && hasPath,
    };
    this.calls.push(call);
    this.#byId.set(call.id, call);
    this.#send(process, target, call);
  }

  #send(process: SoakProcess, target: IListedTarget, call: ICallRecord): void {
    const end = (result: SendFailure | "whole") => {
      const isStillStable =
        this.clock.now() - this.#changedAt > STABLE_TIME || result === "whole";
      call.end = isStillStable ? result : (call.end ?? result);
      if (!isStillStable) {
        Object.assign(call, { mustBeServed: false });
      }
    };
    process.sender.send(target, callOf({ id: call.id, service: SERVICE }), {
      timeLeft: 2_000,
      lastEventId: null,
      needsNewConnection: true,
      receiver: {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => end("whole"),
        onFailure: (failure) => end(failure),
      },
    });
    this.clock.after(500, () => {
      if (call.end === null) {
        process.recordSilence(target);
        this.#excuseUnlessStable(call);
      }
    });
  }

  /** A call that a change has met is not owed. */
  #excuseUnlessStable(call: ICallRecord): void {
    if (this.clock.now() - this.#changedAt <= STABLE_TIME) {
      Object.assign(call, { mustBeServed: false });
    }
  }

  async #step(): Promise<void> {
    this.clock.advance(STEP);
    await settle();
  }
}
