import { expect } from "chai";
import { ManualClock } from "../../test/support/manual_clock.ts";
import { RecordingLog } from "../../test/support/recording_services.ts";
import { TargetCooldowns } from "./target_cooldowns.ts";

class Harness {
  readonly clock = new ManualClock();
  readonly log = new RecordingLog();
  readonly cooldowns = new TargetCooldowns({
    clock: this.clock,
    log: this.log,
  });
}

describe("cooldowns of targets", () => {
  it("keep calls from a target for the time that it names", () => {
    const { clock, cooldowns } = new Harness();
    cooldowns.recordRejection("a", 3_000);
    clock.advance(2_999);
    expect(cooldowns.isActive("a")).to.equal(true);
    expect(cooldowns.maySend("a")).to.equal(false);
    expect(cooldowns.maySend("b")).to.equal(true);
    clock.advance(1);
    expect(cooldowns.isActive("a")).to.equal(false);
    expect(cooldowns.maySend("a")).to.equal(true);
  });

  // Guards against a time that ends early because a call that was sent before
  // it is answered, or is rejected with a shorter one.
  it("are not cut short by the calls in flight", () => {
    const { clock, cooldowns } = new Harness();
    cooldowns.recordRejection("a", 3_000);
    cooldowns.recordResponse("a");
    cooldowns.recordRejection("a", 500);
    clock.advance(2_900);
    expect(cooldowns.isActive("a")).to.equal(true);
  });

  // Guards against many calls that are rejected together after the time.
  it("let one call test the target before the others", () => {
    const { clock, cooldowns } = new Harness();
    cooldowns.recordRejection("a", 1_000);
    clock.advance(1_000);
    cooldowns.recordSend("a");
    expect(cooldowns.maySend("a")).to.equal(false);
    cooldowns.recordResponse("a");
    expect(cooldowns.maySend("a")).to.equal(true);
  });

  // Guards against a target that is never used again because the call that
  // tested it was aborted or lost.
  it("let another call test the target when the first gets no answer", () => {
    const { clock, cooldowns } = new Harness();
    cooldowns.recordRejection("a", 1_000);
    clock.advance(1_000);
    cooldowns.recordSend("a");
    clock.advance(500);
    expect(cooldowns.maySend("a")).to.equal(true);
  });

  it("tell when the first of some targets takes calls", () => {
    const { clock, cooldowns } = new Harness();
    cooldowns.recordRejection("a", 3_000);
    cooldowns.recordRejection("b", 2_000);
    clock.advance(500);
    expect(cooldowns.shortestWait(["a", "b"])).to.equal(1_500);
    expect(cooldowns.shortestWait(["a", "b", "c"])).to.equal(0);
    expect(cooldowns.shortestWait([])).to.equal(0);
    expect(cooldowns.retryAfter(["a", "b"], 0)).to.equal(1_500);
    expect(cooldowns.retryAfter(["a", "b"], 0.5)).to.equal(1_750);
    expect(cooldowns.retryAfter(["a", "b", "c"], 0.5)).to.equal(null);
  });

  it("are logged with their begin and end", () => {
    const { clock, cooldowns, log } = new Harness();
    cooldowns.recordRejection("a", 1_000);
    clock.advance(1_000);
    cooldowns.recordResponse("a");
    expect(log.lines).to.deep.equal([
      {
        event: "target_cooldown",
        fields: { target: "a", retry_after_ms: 1_000 },
      },
      { event: "target_cooldown_ended", fields: { target: "a" } },
    ]);
  });
});
