/** Runs one process's model calls against targets that a test controls. */
import { NO_BOUND_RECORDER } from "../../src/common/calls/answer_bounds.ts";
import { AnswerMemory } from "../../src/common/calls/answer_memory.ts";
import {
  CHECK_PERIOD,
  ModelCalls,
} from "../../src/common/calls/model_calls.ts";
import { ServiceRetryAllowances } from "../../src/common/calls/service_retry_allowances.ts";
import { ServingGroups } from "../../src/common/calls/serving_groups.ts";
import type { IServingGroup } from "../../src/common/calls/serving_groups.ts";
import type {
  IResponseHead,
  IResponseReceiver,
  ICall,
  IEngineProfile,
  ISendOptions,
} from "../../src/common/calls/types.ts";
import { TargetCooldowns } from "../../src/common/target_cooldowns.ts";
import { callOf, RecordingReply } from "./call_fixtures.ts";
import { LARGE } from "./engine_fixtures.ts";
import { ManualClock } from "./manual_clock.ts";
import {
  FakeQuarantine,
  NO_METRICS,
  RecordingLog,
} from "./recording_services.ts";
import { SeededRandom } from "./seeded_random.ts";

const ENGINE: IEngineProfile = {
  models: [LARGE],
  slots: 2,
  memoryTokens: 1_000_000,
  stepTime: 8,
  stepTimePerRequest: 0.1,
  stepTimePerThousandTokens: 0,
  promptTokensPerMillisecond: 46,
  timePerMillionPairs: 0.4,
  chunk: 2_048,
  stride: 5,
  reportLag: 200,
  loadsPerSecond: 5,
  loadsAtOnce: 7,
  openTime: 300,
};

/** The head of a successful response. */
export const SUCCESS_HEAD: IResponseHead = {
  status: 200,
  headers: [],
  isNotRun: false,
  isForOtherRequest: false,
  load: null,
  rateLimit: null,
  retryAfter: null,
  isLeaving: false,
};

/** A group whose head engine is named after it. */
export function servingGroup(name: string): IServingGroup {
  return {
    group: name,
    service: "summaries",
    model: "large",
    head: { id: `head-${name}`, address: "10.0.0.1:80" },
    zone: "one",
    slots: ENGINE.slots,
    takesWork: true,
    pace: 1,
    isZoneOnly: false,
  };
}

/** A recorded send to a target. */
export interface IRecordedSend {
  readonly target: string;
  /** The id of the call. */
  readonly call: string;
  readonly options: ISendOptions & { readonly receiver: IResponseReceiver };
  isAborted: boolean;
}

/** Records the sends of one process; the test plays the targets' responses. */
export class ModelCallsHarness {
  readonly clock = new ManualClock();
  readonly log = new RecordingLog();
  readonly groups = new ServingGroups();
  readonly sends: IRecordedSend[] = [];
  readonly cooldowns: TargetCooldowns;
  /** Whether any path to the targets is known. */
  hasPath = true;
  /** Targets that were reported as silent. */
  readonly silences: string[] = [];
  readonly calls: ModelCalls;
  readonly quarantine = new FakeQuarantine();

  constructor(names: readonly string[], slack = 100) {
    this.groups.replace(names.map(servingGroup));
    this.groups.setOthersInFlight(new Map());
    this.cooldowns = new TargetCooldowns({ clock: this.clock, log: this.log });
    this.calls = new ModelCalls({
      memory: new AnswerMemory(),
      bounds: NO_BOUND_RECORDER,
      groups: this.groups,
      sender: {
        send: (target, call, options) => {
          const send = {
            target: target.id,
            call: call.id,
            options,
            isAborted: false,
          };
          this.sends.push(send);
          return { abort: () => (send.isAborted = true) };
        },
      },
      limits: { maySend: () => true, isAssignedElsewhere: () => false },
      cooldowns: this.cooldowns,
      paths: {
        hasPath: () => this.hasPath,
        recordSilence: (_, target) => this.silences.push(target),
      },
      quarantine: this.quarantine,
      retries: new ServiceRetryAllowances(
        { ratio: 0.2, window: 10_000, slack },
        { processes: () => 1, replacesAnotherSince: null },
      ),
      service: () => ({ name: "summaries", engine: ENGINE }),
      clock: this.clock,
      random: new SeededRandom(20261203),
      log: this.log,
      metrics: NO_METRICS,
      zone: "one",
      lag: () => 0,
      processes: () => 1,
      onGroupsSuspected: () => undefined,
    });
    this.clock.every(CHECK_PERIOD, () => this.calls.check());
  }

  submit(part: Partial<ICall> = {}): {
    reply: RecordingReply;
    leave: () => void;
  } {
    const reply = new RecordingReply();
    const now = this.clock.now();
    const call = callOf({ arrivedAt: now, deadline: now + 8_000, ...part });
    return { reply, leave: this.calls.submit(call, reply) };
  }

  getSend(index: number): IRecordedSend {
    const send = this.sends[index];
    if (send === undefined) {
      throw new Error(`send ${index} was not made`);
    }
    return send;
  }

  deliverEvent(index: number, id: number): void {
    const { receiver } = this.getSend(index).options;
    const text = `id: ${id}\ndata: x\n\n`;
    receiver.onData(new TextEncoder().encode(text));
  }
}
