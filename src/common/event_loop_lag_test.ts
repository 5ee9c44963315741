import { expect } from "chai";
import { EventLoopLag } from "./event_loop_lag.ts";

const PERIOD = 20;

describe("the lag of the event loop", () => {
  it("is the delay of a tick that is overdue", () => {
    const lag = new EventLoopLag(PERIOD);
    expect(lag.at(0)).to.equal(0);
    expect(lag.tick(0)).to.equal(0);
    expect(lag.at(PERIOD)).to.equal(0);
    expect(lag.at(500)).to.equal(480);
  });

  it("is kept for a while after a late tick", () => {
    const lag = new EventLoopLag(PERIOD);
    lag.tick(0);
    expect(lag.tick(500)).to.equal(480);
    for (let now = 520; now <= 1_400; now += PERIOD) {
      lag.tick(now);
    }
    expect(lag.at(1_400)).to.equal(480);
    for (let now = 1_420; now <= 4_000; now += PERIOD) {
      lag.tick(now);
    }
    expect(lag.at(4_000)).to.equal(0);
  });
});
