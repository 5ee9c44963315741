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
}

/** What a target does with one send. */
interface ITargetPlan {
  readonly outcome: TargetOutcome;
  /** Milliseconds until it starts to run the call. */
  readonly delay: number;
}

const PLAN: fc.Arbitrary<ITargetPlan> = fc.record({
  outcome: fc.constantFrom(...Object.values(TargetOutcome)),
  delay: fc.nat({ max: 600 }),
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

describe("attempts of model calls", () => {
  // Guards against calls that run on more targets than their route allows when
  // they are retried at one silent or failing group after the other.
  it("are never exceeded by the targets that run a call", () => {
    fc.assert(
      fc.property(
        fc.array(PLAN, { minLength: 12, maxLength: 40 }),
        fc.integer({ min: 1, max: 6 }),
        (plans, calls) => {
          const harness = new ModelCallsHarness(GROUPS);
          for (let call = 0; call < calls; call += 1) {
            harness.submit({ id: `attempt-${call}` });
          }
          const targets: Target[] = [];
          for (let time = 0; time < SIMULATED_TIME; time += STEP) {
            for (
              let next = targets.length;
              next < harness.sends.length;
              next++
            ) {
              const plan = plans[next % plans.length];
              if (plan !== undefined) {
                targets.push(new Target(harness, next, plan));
              }
            }
            targets.forEach((target) => target.step());
            harness.clock.advance(STEP);
          }
          for (let call = 0; call < calls; call += 1) {
            const ran = targets.filter(
              (target) => target.call === `attempt-${call}` && target.hasRun,
            );
            expect(ran.length).to.be.at.most(ATTEMPTS);
          }
        },
      ),
      { seed: 20261203, numRuns: 300 },
    );
  });
});
