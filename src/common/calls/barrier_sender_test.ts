import { expect } from "chai";
import {
  callOf,
  RecordingReceiver,
} from "../../../test/support/call_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { BarrierPeerLink } from "../forwarding/barrier_peer_link.ts";
import { BarrierSender } from "./barrier_sender.ts";
import type { IInputBarrier } from "./input_barrier.ts";
import type { ISendHandle } from "./types.ts";

/** Milliseconds. */
const TIME_LEFT = 1_000;
const WAITED = 30;

/** A barrier that the test opens. */
class ManualBarrier implements IInputBarrier {
  #waiting: { callback: () => void; isDisposed: boolean }[] = [];

  wait(callback: () => void): { dispose(): void } {
    const waiting = { callback, isDisposed: false };
    this.#waiting.push(waiting);
    return { dispose: () => (waiting.isDisposed = true) };
  }

  pass(): Promise<void> {
    return new Promise((resolve) => this.wait(resolve));
  }

  open(): void {
    const due = this.#waiting.filter(({ isDisposed }) => !isDisposed);
    this.#waiting = [];
    due.forEach(({ callback }) => callback());
  }
}

class Harness {
  readonly clock = new ManualClock();
  readonly barrier = new ManualBarrier();
  /** Milliseconds left of each call when it was sent. */
  readonly sent: number[] = [];
  aborted = 0;
  readonly #handle: ISendHandle = { abort: () => (this.aborted += 1) };

  send(): ISendHandle {
    const sender = {
      send: (_target: unknown, _call: unknown, options: { timeLeft: number }) =>
        this.#record(options.timeLeft),
    };
    const { barrier, clock } = this;
    const target = { id: "i-1", address: "10.0.0.1:80" };
    return new BarrierSender({ sender, barrier, clock }).send(
      target,
      callOf(),
      {
        timeLeft: TIME_LEFT,
        lastEventId: null,
        needsNewConnection: false,
        receiver: new RecordingReceiver(),
      },
    );
  }

  forward(): ISendHandle {
    const link = {
      send: (_address: string, send: { timeLeft: number }) =>
        this.#record(send.timeLeft),
    };
    const { barrier, clock } = this;
    const receiver = Object.assign(new RecordingReceiver(), {
      onRefused: () => undefined,
    });
    return new BarrierPeerLink({ link, barrier, clock }).send(
      "10.0.0.2:80",
      {
        target: "i-1",
        call: callOf(),
        timeLeft: TIME_LEFT,
        lastEventId: null,
        needsNewConnection: false,
      },
      receiver,
    );
  }

  #record(timeLeft: number): ISendHandle {
    this.sent.push(timeLeft);
    return this.#handle;
  }
}

describe("sends behind the input barrier", () => {
  const paths: readonly [string, (harness: Harness) => ISendHandle][] = [
    ["to a target", (harness) => harness.send()],
    ["to another process", (harness) => harness.forward()],
  ];
  for (const [name, start] of paths) {
    it(`${name} have less time left by the wait`, () => {
      const harness = new Harness();
      start(harness);
      expect(harness.sent).to.deep.equal([]);
      harness.clock.advance(WAITED);
      harness.barrier.open();
      expect(harness.sent).to.deep.equal([TIME_LEFT - WAITED]);
    });

    // Guards against calls that are sent although their caller's leave was read
    // while they waited.
    it(`${name} are never made once aborted`, () => {
      const harness = new Harness();
      start(harness).abort();
      harness.barrier.open();
      expect(harness.sent).to.deep.equal([]);
    });

    it(`${name} are aborted once made`, () => {
      const harness = new Harness();
      const handle = start(harness);
      harness.barrier.open();
      handle.abort();
      expect(harness.aborted).to.equal(1);
    });
  }
});
