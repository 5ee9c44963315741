import { expect } from "chai";
import fc from "fast-check";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { InputBarrier, TURNS_AFTER_CONNECT } from "./input_barrier.ts";

/** An event loop whose turns the test ends. */
class ManualEventLoop {
  #callbacks: (() => void)[] = [];

  afterPoll(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  get isIdle(): boolean {
    return this.#callbacks.length === 0;
  }

  endTurn(): void {
    const callbacks = this.#callbacks;
    this.#callbacks = [];
    callbacks.forEach((callback) => callback());
  }
}

class Harness {
  readonly clock = new ManualClock();
  readonly eventLoop = new ManualEventLoop();
  readonly barrier = new InputBarrier(this);
  readonly called: string[] = [];

  wait(name: string): { dispose(): void } {
    return this.barrier.wait(() => this.called.push(name));
  }

  /** Ends a turn that has taken a time, in milliseconds. */
  endTurn(duration: number): void {
    this.clock.advance(duration);
    this.eventLoop.endTurn();
  }
}

describe("the input barrier", () => {
  // Guards against calls sent in the turn in which they were read: the close of
  // the caller's connection is read in the next one.
  it("calls back after a complete poll", () => {
    const harness = new Harness();
    harness.wait("a");
    harness.endTurn(1);
    expect(harness.called).to.deep.equal([]);
    harness.endTurn(1);
    expect(harness.called).to.deep.equal(["a"]);
    expect(harness.eventLoop.isIdle).to.equal(true);
  });

  // Guards against calls sent on news that is as old as a long turn.
  it("polls again after a poll that took long", () => {
    const harness = new Harness();
    harness.wait("a");
    harness.endTurn(1);
    harness.endTurn(1_000);
    expect(harness.called).to.deep.equal([]);
    harness.endTurn(10);
    expect(harness.called).to.deep.equal(["a"]);
  });

  // Guards against connections that wait a turn longer for each new call.
  it("lets a connection through that is made behind a new call", () => {
    const harness = new Harness();
    harness.wait("before");
    harness.endTurn(1);
    harness.wait("call");
    harness.barrier.wait(
      () => harness.called.push("connection"),
      TURNS_AFTER_CONNECT,
    );
    harness.endTurn(1);
    expect(harness.called).to.deep.equal(["before", "connection"]);
    harness.endTurn(1);
    expect(harness.called).to.deep.equal(["before", "connection", "call"]);
  });

  // Guards against callers that wait for ever at a process whose turns are all
  // long.
  it("calls back in the end when all turns are long", () => {
    const harness = new Harness();
    harness.wait("a");
    harness.wait("b");
    for (let turn = 0; turn < 6; turn += 1) {
      harness.endTurn(1_000);
    }
    expect(harness.called).to.deep.equal(["a", "b"]);
  });

  // Guards against sends late in a turn that many sends have made long.
  it("polls between callbacks that take long", () => {
    const harness = new Harness();
    const callback = (name: string) => () => {
      harness.called.push(name);
      harness.clock.advance(200);
    };
    for (const name of ["a", "b", "c", "d"]) {
      harness.barrier.wait(callback(name));
    }
    harness.endTurn(1);
    harness.endTurn(1);
    expect(harness.called).to.deep.equal(["a", "b"]);
    harness.endTurn(1);
    expect(harness.called).to.deep.equal(["a", "b", "c", "d"]);
  });

  it("calls back in order, and nothing that was disposed of", () => {
    const turns = fc.array(
      fc.record({
        waits: fc.nat(3),
        duration: fc.nat(500),
        disposed: fc.boolean(),
      }),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(turns, (sequence) => {
        const { barrier, clock, eventLoop } = new Harness();
        const called: number[] = [];
        const expected: number[] = [];
        let next = 0;
        for (const { waits, duration, disposed } of sequence) {
          for (let count = 0; count < waits; count += 1) {
            const number = next++;
            const waiting = barrier.wait(() => called.push(number));
            if (disposed) {
              waiting.dispose();
            } else {
              expected.push(number);
            }
          }
          clock.advance(duration);
          eventLoop.endTurn();
        }
        for (let turn = 0; turn < 10; turn += 1) {
          eventLoop.endTurn();
        }
        expect(called).to.deep.equal(expected);
        expect(eventLoop.isIdle).to.equal(true);
      }),
    );
  });
});
