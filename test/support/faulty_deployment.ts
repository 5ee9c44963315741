/** A daemon with little memory, whose targets and store may be faulty. */
import { expect } from "chai";
import { registerInstance } from "../../src/stand_ins/shared/register.ts";
import { InstanceState, ServiceKind } from "../../src/common/types.ts";
import { sendCall, sendStreamCall } from "./caller.ts";
import type { ICall } from "./caller.ts";
import { Deployment } from "./deployment.ts";
import { FaultyTarget } from "./faulty_target.ts";
import type { FaultyAnswer } from "./faulty_target.ts";
import { MemorySampler } from "./memory_sampler.ts";
import type { ProcessHandle } from "./process_handle.ts";

export const ZONE = "vn-north-a";
export const DAEMON = `daemon-${ZONE}-0`;
const DOMAIN = `${ZONE}-fabric`;
const SERVICE = "delivery-api";
const ENGINES = 4;

/** Megabytes that the platform gives a daemon, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** Calls that are open at once. */
export const CALLS = 40;

/** Calls to sound targets, one after the other, while those are open. */
const SOUND_CALLS = 5;

/** Milliseconds after which a call is given up; longer than any deadline. */
const CALL_LIMIT = 70_000;

/** The same for a call to a sound target, which is answered at once. */
const SOUND_LIMIT = 20_000;

const STATUS_OK = 200;

/** Operations of the deployment's services. */
export enum Operation {
  /** Answered by engines. */
  Stream = "summarizer/long-brief",
  Text = "summarizer/headline",
  /** Answered by a plain service. */
  Repeatable = "delivery-api/feed",
  AtMostOnce = "delivery-api/publish",
}

/** Statuses of calls; 0 for one without an answer. */
export interface IOutcome {
  readonly statuses: readonly number[];
  readonly soundStatuses: readonly number[];
  /** Megabytes. */
  readonly peak: number;
  readonly hasExited: boolean;
  readonly output: string;
}

/** Each target, and the store, is reached through a {@link FaultyTarget}. */
export class FaultyDeployment {
  readonly deployment: Deployment;
  readonly platform: FaultyTarget;
  readonly engines: readonly FaultyTarget[];
  readonly service: FaultyTarget;
  #serial = 0;

  private constructor(parts: {
    readonly deployment: Deployment;
    readonly platform: FaultyTarget;
    readonly engines: readonly FaultyTarget[];
    readonly service: FaultyTarget;
  }) {
    this.deployment = parts.deployment;
    this.platform = parts.platform;
    this.engines = parts.engines;
    this.service = parts.service;
  }

  static async start(): Promise<FaultyDeployment> {
    const platform = new FaultyTarget();
    const address = await platform.listen();
    const deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 0,
      enginesPerZone: ENGINES,
      plainService: SERVICE,
      limits: { memory: MEMORY, heap: HEAP },
      settings: () => ({ platform: { address } }),
    });
    platform.target = deployment.platformAddress;
    const engines: FaultyTarget[] = [];
    for (const name of deployment.processNames("engine-")) {
      engines.push(await standBefore(deployment, name, ServiceKind.Engine));
    }
    const name = `service-${ZONE}`;
    const service = await standBefore(deployment, name, ServiceKind.Plain);
    const started = { deployment, platform, engines, service };
    const faulty = new FaultyDeployment(started);
    await deployment.startDaemon(DAEMON, ZONE);
    await deployment.waitUntilServing();
    return faulty;
  }

  get daemon(): ProcessHandle {
    return this.deployment.process(DAEMON);
  }

  /** The log lines of one event. */
  linesOf(event: string): readonly string[] {
    const lines = this.daemon.output.split("\n");
    return lines.filter((line) => line.endsWith(`event=${event}`));
  }

  /** Makes all engines answer requests for a path with a fault. */
  failEngines(path: string, fault: FaultyAnswer): void {
    this.engines.forEach(({ faults }) => faults.set(path, fault));
  }

  /** Sends faulty calls at once, and others one after the other meanwhile. */
  async play(paths: {
    readonly faulty: Operation;
    readonly sound: Operation;
    readonly calls?: number;
  }): Promise<IOutcome> {
    const { daemon } = this;
    using sampler = new MemorySampler(daemon, MEMORY);
    const { faulty, sound, calls = CALLS } = paths;
    const pending = Promise.all(
      Array.from({ length: calls }, () => this.statusOf(faulty, CALL_LIMIT)),
    );
    const soundStatuses: number[] = [];
    for (let call = 0; call < SOUND_CALLS; call += 1) {
      soundStatuses.push(await this.statusOf(sound));
      if (soundStatuses.at(-1) !== STATUS_OK) {
        break;
      }
    }
    const statuses = await pending;
    soundStatuses.push(await this.statusOf(sound));
    const { hasExited, output } = daemon;
    return { statuses, soundStatuses, peak: sampler.peak, hasExited, output };
  }

  /** Sends a call; 0 if it gets no whole answer. */
  async statusOf(operation: Operation, limit = SOUND_LIMIT): Promise<number> {
    this.#serial += 1;
    const id = `call-${this.#serial}`;
    const isEngines = operation.startsWith("summarizer/");
    const call: ICall = {
      address: this.daemon.listeningField("callers"),
      credential: isEngines ? "editor-desk-secret" : "subscriber-app-secret",
      operation,
      requestId: id,
      body: isEngines ? { prompt: id, maximum_tokens: 8 } : { page: 1 },
      signal: AbortSignal.timeout(limit),
      ...(operation === Operation.AtMostOnce ? { key: id } : {}),
    };
    if (operation === Operation.Stream) {
      const reply = await sendStreamCall(call).catch(() => null);
      const isSound = reply?.status !== STATUS_OK || reply.isWhole;
      return isSound ? (reply?.status ?? 0) : 0;
    }
    const reply = await sendCall(call).catch(() => null);
    return reply?.status ?? 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.deployment[Symbol.asyncDispose]();
    const all = [this.platform, this.service, ...this.engines];
    await Promise.all(all.map((target) => target[Symbol.asyncDispose]()));
  }
}

async function standBefore(
  deployment: Deployment,
  name: string,
  kind: ServiceKind,
): Promise<FaultyTarget> {
  const faulty = new FaultyTarget();
  const address = await faulty.listen();
  faulty.target = deployment.process(name).listeningField("address");
  await registerInstance(deployment.platformAddress, {
    id: name,
    zone: ZONE,
    domain: DOMAIN,
    address,
    state: InstanceState.Live,
    kind,
    service: kind === ServiceKind.Plain ? SERVICE : "",
  });
  return faulty;
}

/** Expects that the daemon has lived, and served the sound calls. */
export function expectServed(outcome: IOutcome): void {
  const { peak, hasExited, soundStatuses } = outcome;
  expect(hasExited, "the daemon has ended").to.equal(false);
  expect(peak).to.be.at.most(MEMORY);
  const answered = soundStatuses.filter((status) => status === STATUS_OK);
  expect(answered, soundStatuses.join()).to.have.length(SOUND_CALLS + 1);
}
