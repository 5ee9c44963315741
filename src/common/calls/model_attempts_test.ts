import { expect } from "chai";
import fc from "fast-check";
import {
  SUCCESS_HEAD,
  ModelCallsHarness,
} from "../../../test/support/model_calls_harness.ts";
import type { IRecordedSend } from "../../../test/support/model_calls_harness.ts";
import { SendFailure } from "./types.ts";

/** Targets that may run one call, by the harness's route. */
const ATTEMPTS = 2;
const GROUPS = ["a", "b", "c", "d", "e"];
/** Simulation step, milliseconds. */
const STEP = 20;
/** Longer than the latest deadline, milliseconds. */
const SIMULATED_TIME = 10_000;
/** Latency of requests, events and aborts, milliseconds. */
const LATENCY = 60;
/** Time between two events, milliseconds. */
const EVENT_GAP = 40;
/** Id of the last event. */
const LAST_EVENT = 5;

enum TargetOutcome {
  Whole = "whole",
  /** The group has lost a member and starts nothing. */
  Stalled = "still",
  /** It responds with a server error. */
  Failure = "failure",
  /** The connection is reset after some events. */
  Reset = "reset",
  /** It starts to run the call, and the connection is reset before an event. */
  LostAnswer = "lost_answer",
  /** It starts to run the call, and the process that forwarded it is lost. */
  LostPath = "lost_path",
}

/** Outcomes that the process sees: an event, or silence that it ends. */
const VISIBLE_OUTCOMES = [
  TargetOutcome.Whole,
  TargetOutcome.Stalled,
  TargetOutcome.Failure,
  TargetOutcome.Reset,
];

/** Failures that hide a run. */
const HIDDEN_RUNS: ReadonlyMap<TargetOutcome, SendFailure> = new Map([
  [TargetOutcome.LostAnswer, SendFailure.Broken],
  [TargetOutcome.LostPath, SendFailure.PathLost],
]);

/** What a target does with one send. */
interface ITargetPlan {
  readonly outcome: TargetOutcome;
  /** Milliseconds until it starts to run the call. */
  readonly delay: number;
}

function planOf(outcomes: readonly TargetOutcome[]): fc.Arbitrary<ITargetPlan> {
  return fc.record({
    outcome: fc.constantFrom(...outcomes),
    delay: fc.nat({ max: 600 }),
  });
}

/** A group that the lease holder gives up while its head goes on. */
interface ILostGroup {
  readonly group: string;
  /** Milliseconds. */
  readonly at: number;
}

const LOST_GROUP: fc.Arbitrary<ILostGroup> = fc.record({
  group: fc.constantFrom(...GROUPS),
  at: fc.nat({ max: 2_000 }),
});

/** A target that received one send. */
class Target {
  readonly #harness: ModelCallsHarness;
  readonly #index: number;
  readonly #plan: ITargetPlan;
  readonly #sentAt: number;
  #abortedAt = Number.POSITIVE_INFINITY;
  #events = 0;
  #isFinished = false;
  hasRun = false;

  constructor(harness: ModelCallsHarness, index: number, plan: ITargetPlan) {
    this.#harness = harness;
    this.#index = index;
    this.#plan = plan;
    this.#sentAt = harness.clock.now();
  }

  get call(): string {
    return this.#send.call;
  }

  step(): void {
    const now = this.#harness.clock.now();
    if (this.#send.isAborted) {
      this.#abortedAt = Math.min(this.#abortedAt, now);
    }
    const beginsAt = this.#sentAt + LATENCY + this.#plan.delay;
    const isStalled = this.#plan.outcome === TargetOutcome.Stalled;
    if (!isStalled && now >= beginsAt && beginsAt < this.#abortedAt + LATENCY) {
      this.hasRun = true;
      this.#answer(now - beginsAt - LATENCY);
    }
  }

  get #send(): IRecordedSend {
    return this.#harness.getSend(this.#index);
  }

  /** @param age - milliseconds since the start of the response arrived */
  #answer(age: number): void {
    if (this.#isFinished || this.#send.isAborted || age < 0) {
      return;
    }
    const { receiver } = this.#send.options;
    const hidden = HIDDEN_RUNS.get(this.#plan.outcome);
    if (hidden !== undefined) {
      this.#isFinished = true;
      receiver.onFailure(hidden, "no event arrived");
      return;
    }
    if (this.#plan.outcome === TargetOutcome.Failure) {
      this.#isFinished = true;
      receiver.onHead({ ...SUCCESS_HEAD, status: 500 });
      receiver.onEnd();
      return;
    }
    if (this.#events === 0) {
      receiver.onHead(SUCCESS_HEAD);
    }
    while (this.#events < LAST_EVENT && age >= this.#events * EVENT_GAP) {
      this.#events += 1;
      this.#harness.deliverEvent(this.#index, this.#events);
      if (this.#plan.outcome === TargetOutcome.Reset && this.#events > 1) {
        this.#isFinished = true;
        receiver.onFailure(SendFailure.Broken, "reset");
        return;
      }
    }
    if (this.#events === LAST_EVENT) {
      this.#isFinished = true;
      receiver.onEnd();
    }
  }
}

/** Plays calls; returns by how many targets each one was run. */
function playCalls(load: {
  readonly plans: readonly ITargetPlan[];
  readonly calls: number;
  readonly lost: readonly ILostGroup[];
}): readonly number[] {
  const { plans, calls, lost } = load;
  const harness = new ModelCallsHarness(GROUPS);
  const ids = Array.from({ length: calls }, (_, call) => `attempt-${call}`);
  ids.forEach((id) => harness.submit({ id }));
  const targets: Target[] = [];
  for (let time = 0; time < SIMULATED_TIME; time += STEP) {
    for (let next = targets.length; next < harness.sends.length; next++) {
      const plan = plans[next % plans.length];
      if (plan !== undefined) {
        targets.push(new Target(harness, next, plan));
      }
    }
    targets.forEach((target) => target.step());
    const abandoned = lost.filter(({ at }) => at >= time && at < time + STEP);
    if (abandoned.length > 0) {
      harness.calls.handleGroupsChanged(abandoned.map(({ group }) => group));
    }
    harness.clock.advance(STEP);
  }
  return ids.map(
    (id) => targets.filter(({ call, hasRun }) => call === id && hasRun).length,
  );
}

describe("attempts of model calls", () => {
  // Guards against calls that run on more targets than their route allows when
  // they are retried at one silent or failing group after the other.
  it("are never exceeded by the targets that run a call", () => {
    fc.assert(
      fc.property(
        fc.array(planOf(VISIBLE_OUTCOMES), { minLength: 12, maxLength: 40 }),
        fc.integer({ min: 1, max: 6 }),
        (plans, calls) => {
          const runs = playCalls({ plans, calls, lost: [] });
          expect(Math.max(...runs)).to.be.at.most(ATTEMPTS);
        },
      ),
      { seed: 20261203, numRuns: 300 },
    );
  });

  // Guards against runs that are left out of the count, since no event showed
  // them, or since the target's group was believed to be lost.
  it("are never exceeded by runs that the process does not see", () => {
    const outcomes = Object.values(TargetOutcome);
    fc.assert(
      fc.property(
        fc.array(planOf(outcomes), { minLength: 12, maxLength: 40 }),
        fc.integer({ min: 1, max: 6 }),
        fc.array(LOST_GROUP, { maxLength: 4 }),
        (plans, calls, lost) => {
          const runs = playCalls({ plans, calls, lost });
          expect(Math.max(...runs)).to.be.at.most(ATTEMPTS);
        },
      ),
      { seed: 20261204, numRuns: 300 },
    );
  });
});
