/** Model calls whose targets are silent for a while, and then go on. */
import { expect } from "chai";
import fc from "fast-check";
import type { RecordingReply } from "../../../test/support/call_fixtures.ts";
import {
  ModelCallsHarness as Harness,
  servingGroup,
  SUCCESS_HEAD,
} from "../../../test/support/model_calls_harness.ts";
import { CallRefusalKind, SendFailure } from "./types.ts";

/** Simulation step, milliseconds. */
const STEP = 20;

/** Time between two events, milliseconds. */
const EVENT_GAP = 40;

/** Id of the last event. */
const LAST_EVENT = 20;

/** Milliseconds; after two such silences a stream still ends in time. */
const LONGEST_SILENCE = 3_000;

/** Longer than the latest deadline, milliseconds. */
const SIMULATED_TIME = 10_000;

/** Starts a stream; its target is silent after the first event. */
function startAndFallSilent(harness: Harness): RecordingReply {
  const { reply } = harness.submit();
  begin(harness, 0, 1);
  harness.clock.advance(1_000);
  return reply;
}

function begin(harness: Harness, index: number, event: number): void {
  harness.getSend(index).options.receiver.onHead(SUCCESS_HEAD);
  harness.deliverEvent(index, event);
}

function end(harness: Harness, index: number): void {
  harness.getSend(index).options.receiver.onEnd();
}

function eventsOf({ text }: RecordingReply): readonly number[] {
  return [...text.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
}

describe("model calls whose target is silent", () => {
  // Guards against a stream that is given up while no other group takes it.
  it("stay there while there is no other group", () => {
    const harness = new Harness(["a"]);
    const reply = startAndFallSilent(harness);
    harness.clock.advance(4_000);
    expect(harness.sends).to.have.length(1);
    expect(harness.getSend(0).isAborted).to.equal(false);
    harness.deliverEvent(0, 2);
    end(harness, 0);
    expect(reply.isEnded).to.equal(true);
  });

  // Guards against a stream that is cut because the other group rejects it or
  // cannot be reached, while the first target goes on.
  for (const failure of [SendFailure.Unreachable, SendFailure.Broken]) {
    it(`are answered by it if another send fails as ${failure}`, () => {
      const harness = new Harness(["a", "b"]);
      const reply = startAndFallSilent(harness);
      harness.getSend(1).options.receiver.onFailure(failure, "");
      harness.clock.advance(2_000);
      expect(reply.isBroken).to.equal(false);
      harness.deliverEvent(0, 2);
      end(harness, 0);
      expect(eventsOf(reply)).to.deep.equal([1, 2]);
      expect(reply.isEnded).to.equal(true);
    });
  }

  // Guards against a forwarded stream that stalls, or is cut, because the
  // process between does not answer.
  it("go on elsewhere if the path of their send is silent", () => {
    const harness = new Harness(["a", "b"]);
    const { reply } = harness.submit();
    begin(harness, 0, 1);
    harness.getSend(0).options.receiver.onSilence?.("peer frozen");
    expect(harness.getSend(0).isAborted).to.equal(false);
    expect(harness.getSend(1).options.lastEventId).to.equal("1");
    begin(harness, 1, 2);
    end(harness, 1);
    expect(eventsOf(reply)).to.deep.equal([1, 2]);
  });

  // Guards against a second run that goes on beside the first.
  it("are answered by the one that goes on first", () => {
    const harness = new Harness(["a", "b"]);
    const reply = startAndFallSilent(harness);
    harness.deliverEvent(0, 2);
    expect(harness.getSend(1).isAborted).to.equal(true);
    expect(harness.groups.ownInFlight.size).to.equal(1);
    end(harness, 0);
    expect(eventsOf(reply)).to.deep.equal([1, 2]);
  });

  // Guards against a started stream that is reset because its second group
  // answers with a failure, while the first still runs it.
  it("go on there if the resumption is answered with a failure", () => {
    const harness = new Harness(["a", "b"]);
    const reply = startAndFallSilent(harness);
    const { receiver } = harness.getSend(1).options;
    receiver.onHead({ ...SUCCESS_HEAD, status: 500 });
    receiver.onEnd();
    expect(reply.isBroken).to.equal(false);
    harness.deliverEvent(0, 2);
    end(harness, 0);
    expect(reply.isEnded).to.equal(true);
  });

  // Guards against callers that wait past their deadline for two silent groups.
  it("end at the deadline with all their sends", () => {
    const harness = new Harness(["a", "b"]);
    const { reply } = harness.submit();
    harness.clock.advance(8_001);
    expect(harness.sends).to.have.length(2);
    expect(harness.sends.every(({ isAborted }) => isAborted)).to.equal(true);
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.TimedOut);
    expect(harness.groups.ownInFlight.size).to.equal(0);
  });

  // Guards against targets that go on with a call whose caller has left.
  it("abort all their sends when the caller leaves", () => {
    const harness = new Harness(["a", "b"]);
    const { leave } = harness.submit();
    harness.clock.advance(2_000);
    leave();
    expect(harness.sends).to.have.length(2);
    expect(harness.sends.every(({ isAborted }) => isAborted)).to.equal(true);
  });

  // Guards against a call that is sent again to a group that already has it.
  it("take no second send to the same group", () => {
    const harness = new Harness(["a"]);
    startAndFallSilent(harness);
    harness.clock.advance(5_000);
    harness.groups.replace(["a"].map(servingGroup));
    harness.calls.handleGroupsChanged([]);
    expect(harness.sends).to.have.length(1);
  });

  // Guards against streams that are lost, or have gaps or duplicates, although
  // every target only pauses and would have completed them.
  it("are whole if each of their targets goes on", () => {
    const pause = fc.record({
      after: fc.integer({ min: 0, max: LAST_EVENT - 1 }),
      time: fc.integer({ min: 0, max: LONGEST_SILENCE }),
    });
    const load = { minLength: 6, maxLength: 12 };
    fc.assert(
      fc.property(fc.array(pause, load), (pauses) => {
        const replies = playPauses(pauses);
        for (const reply of replies) {
          expect(reply.isBroken).to.equal(false);
          const expected = Array.from(
            { length: LAST_EVENT },
            (_, id) => id + 1,
          );
          expect(eventsOf(reply)).to.deep.equal(expected);
        }
      }),
      { seed: 20261205, numRuns: 200 },
    );
  });
});

/** A pause of a target after some events, milliseconds. */
interface IPause {
  readonly after: number;
  readonly time: number;
}

/** Plays three streams at once; each send has a target that pauses once. */
function playPauses(pauses: readonly IPause[]): readonly RecordingReply[] {
  const harness = new Harness(["a", "b", "c"]);
  const calls = ["first", "second", "third"];
  const replies = calls.map((id) => harness.submit({ id }).reply);
  const targets: PausingTarget[] = [];
  for (let time = 0; time < SIMULATED_TIME; time += STEP) {
    for (let next = targets.length; next < harness.sends.length; next += 1) {
      const pause = pauses[next % pauses.length];
      if (pause !== undefined) {
        targets.push(new PausingTarget(harness, next, pause));
      }
    }
    targets.forEach((target) => target.step());
    harness.clock.advance(STEP);
  }
  return replies;
}

/** Answers one send, with one pause. */
class PausingTarget {
  readonly #harness: Harness;
  readonly #index: number;
  readonly #pause: IPause;
  readonly #sentAt: number;
  #event: number;
  readonly #first: number;
  #isFinished = false;

  constructor(harness: Harness, index: number, pause: IPause) {
    this.#harness = harness;
    this.#index = index;
    this.#pause = pause;
    this.#sentAt = harness.clock.now();
    const { lastEventId } = harness.getSend(index).options;
    this.#event = Number(lastEventId ?? 0);
    this.#first = this.#event;
  }

  step(): void {
    const { isAborted, options } = this.#harness.getSend(this.#index);
    if (isAborted || this.#isFinished) {
      return;
    }
    if (this.#event === this.#first) {
      options.receiver.onHead(SUCCESS_HEAD);
    }
    const age = this.#harness.clock.now() - this.#sentAt;
    while (this.#event < LAST_EVENT && age >= this.#dueAge(this.#event + 1)) {
      this.#event += 1;
      this.#harness.deliverEvent(this.#index, this.#event);
    }
    if (this.#event === LAST_EVENT) {
      this.#isFinished = true;
      options.receiver.onEnd();
    }
  }

  #dueAge(event: number): number {
    const { after, time } = this.#pause;
    const pause = event > after ? time : 0;
    return (event - this.#first) * EVENT_GAP + pause;
  }
}
