import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { SUCCESS_HEAD } from "../../../test/support/model_calls_harness.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { TargetRateLimits } from "./target_rate_limits.ts";

/** The limits of one of several processes. */
class Harness {
  readonly clock = new ManualClock();
  readonly log = new RecordingLog();
  readonly limits: TargetRateLimits;

  constructor(processes = 1) {
    this.limits = new TargetRateLimits({
      clock: this.clock,
      log: this.log,
      processes: () => processes,
    });
  }

  respond(rateLimit: number | null, status = 200): void {
    this.limits.recordResponse("a", { ...SUCCESS_HEAD, status, rateLimit });
  }

  /** Sends whenever it may for some time; returns the number of requests. */
  sendFor(milliseconds: number): number {
    let count = 0;
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10);
      if (this.limits.maySend("a")) {
        this.limits.recordSend("a");
        count += 1;
      }
    }
    return count;
  }
}

describe("request limits of targets", () => {
  it("keeps to the rate that a target names", () => {
    const harness = new Harness();
    expect(harness.limits.maySend("a")).to.equal(true);
    harness.respond(2);
    expect(harness.sendFor(10_000)).to.equal(20);
  });

  it("keeps to an even part while there is no assignment", () => {
    const harness = new Harness(4);
    harness.respond(2);
    expect(harness.sendFor(10_000)).to.equal(5);
  });

  it("keeps to its assigned share", () => {
    const harness = new Harness(4);
    harness.respond(2);
    harness.limits.assignShares({ a: 1 });
    expect(harness.sendFor(10_000)).to.equal(10);
    harness.limits.assignShares({ a: 0 });
    expect(harness.sendFor(10_000)).to.equal(0);
    expect(harness.limits.isAssignedElsewhere("a")).to.equal(true);
  });

  // Guards against a burst at the end of an idle time that exceeds the limit.
  it("does not save up requests while it sends none", () => {
    const harness = new Harness();
    harness.respond(2);
    harness.clock.advance(60_000);
    expect(harness.sendFor(10)).to.equal(1);
    expect(harness.sendFor(480)).to.equal(0);
  });

  // Guards against a target that is never sent a request again: without a
  // response, nobody learns that its limit has ended.
  it("probes a target that takes no requests", () => {
    const harness = new Harness();
    harness.respond(0);
    expect(harness.sendFor(10_000)).to.equal(2);
  });

  // Guards against ending a limit by a failure that does not come from the
  // target itself, such as a response cut short by a broken connection.
  it("ends a limit only by a success that names none", () => {
    const harness = new Harness();
    harness.respond(2);
    harness.respond(null, 503);
    expect(harness.limits.rates.get("a")).to.equal(2);
    harness.respond(null);
    expect(harness.limits.rates.has("a")).to.equal(false);
    expect(harness.limits.maySend("a")).to.equal(true);
  });

  // Guards against a limit that comes back after its end, since another process
  // still knows the response that named it.
  it("prefers the newest observation of all processes", () => {
    const harness = new Harness();
    harness.clock.advance(1_000);
    harness.limits.merge({ a: { rate: 2, age: 500 } });
    expect(harness.limits.rates.get("a")).to.equal(2);
    harness.limits.merge({ a: { rate: 3, age: 800 } });
    expect(harness.limits.rates.get("a")).to.equal(2);
    harness.respond(null);
    harness.clock.advance(5_000);
    harness.limits.cleanUp({ has: () => true });
    harness.limits.merge({ a: { rate: 2, age: 5_500 } });
    expect(harness.limits.rates.has("a")).to.equal(false);
  });

  it("logs the start and the end of a limit", () => {
    const harness = new Harness();
    harness.respond(2);
    harness.respond(2);
    harness.respond(null);
    expect(harness.log.fieldsOf("target_limit")).to.deep.equal([
      { target: "a", rate: 2 },
      { target: "a", rate: null },
    ]);
  });
});
