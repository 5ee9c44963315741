import { expect } from "chai";
import { StoreAvailability } from "./store_availability.ts";

/** Milliseconds between two heartbeats of a target. */
const HEARTBEAT = 1_200;

const WRITES = { writtenShare: 1, hasRemovals: false, notBefore: 9_500 };
const REMOVALS = { writtenShare: 0, hasRemovals: true, notBefore: 9_500 };
const NOTHING = { writtenShare: 0, hasRemovals: false, notBefore: 9_500 };

function watchFrom(sentAt: number) {
  return { sentAt, wait: 400, isList: false };
}

function listFrom(sentAt: number) {
  return { sentAt, wait: 0, isList: true };
}

/** A store that has answered regularly until 10 s. */
function servingStore(): StoreAvailability {
  const availability = new StoreAvailability(HEARTBEAT);
  availability.recordAnswer(listFrom(990), NOTHING, 1_000);
  for (let time = 2_000; time < 10_000; time += 1_000) {
    const content = { ...WRITES, notBefore: time - 500 };
    availability.recordAnswer(watchFrom(time - 400), content, time);
  }
  availability.recordAnswer(watchFrom(9_600), WRITES, 10_000);
  return availability;
}

describe("StoreAvailability", () => {
  // Guards against targets that are kept after they left, since one connection
  // broke while the store served.
  it("takes no watch that is cut off for an outage", () => {
    const availability = servingStore();
    availability.recordFailure(watchFrom(10_200), 10_300);
    availability.recordAnswer(listFrom(10_350), WRITES, 10_360);
    expect(availability.returnedAt).to.equal(Number.NEGATIVE_INFINITY);
    expect(availability.interruptedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("takes a list that fails once for an interruption only", () => {
    const availability = servingStore();
    availability.recordFailure(listFrom(10_200), 10_210);
    availability.recordAnswer(listFrom(10_300), WRITES, 10_310);
    expect(availability.returnedAt).to.equal(Number.NEGATIVE_INFINITY);
    expect(availability.interruptedUntil).to.equal(10_310);
  });

  it("takes lists that fail for a while for an outage", () => {
    const availability = servingStore();
    availability.recordFailure(listFrom(10_200), 10_210);
    availability.recordFailure(listFrom(10_600), 10_610);
    availability.recordAnswer(listFrom(11_000), WRITES, 11_010);
    expect(availability.returnedAt).to.equal(11_010);
  });

  // Guards against live targets that are dropped after an outage in which the
  // only call that was open got no answer.
  it("takes a watch without an answer for an outage", () => {
    const availability = servingStore();
    availability.recordFailure(watchFrom(10_200), 11_600);
    availability.recordAnswer(listFrom(11_650), NOTHING, 11_660);
    expect(availability.returnedAt).to.equal(11_660);
  });

  // Guards against an outage of the others' reader that this process has not
  // seen, since it did not read the store meanwhile.
  it("uses the outages that another process has seen", () => {
    const availability = servingStore();
    availability.recordRelayed(12_000, 11_500);
    expect(availability.readAt).to.equal(12_000);
    expect(availability.returnedAt).to.equal(11_500);
  });

  // Guards against live targets that are dropped in a slow store, whose answers
  // come late, but come.
  it("takes an overdue answer for the end of an outage", () => {
    const availability = servingStore();
    availability.recordAnswer(watchFrom(10_200), NOTHING, 11_300);
    expect(availability.returnedAt).to.equal(11_300);
  });

  // Guards against entries that are kept, here and at the others, since the
  // process that reads the store is behind.
  it("takes no answer that was read late for the end of an outage", () => {
    const availability = servingStore();
    availability.recordAnswer(watchFrom(10_200), WRITES, 12_800);
    expect(availability.returnedAt).to.equal(Number.NEGATIVE_INFINITY);
    expect(availability.interruptedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  // Guards against live targets that are dropped since the store answers reads,
  // but takes no heartbeats.
  it("takes removals without any heartbeat for an outage", () => {
    const availability = servingStore();
    for (const time of [10_500, 11_000, 11_500]) {
      availability.recordAnswer(watchFrom(time - 400), NOTHING, time);
    }
    expect(availability.returnedAt).to.equal(Number.NEGATIVE_INFINITY);
    availability.recordAnswer(watchFrom(11_700), REMOVALS, 12_000);
    expect(availability.returnedAt).to.equal(12_000);
  });

  // Guards against targets that are kept after they left: the platform shows no
  // heartbeats that change nothing else, and none is taken for an outage.
  it("takes no removal for an outage where heartbeats are not shown", () => {
    const availability = new StoreAvailability(HEARTBEAT);
    availability.recordAnswer(listFrom(0), NOTHING, 10);
    for (let time = 400; time <= 8_000; time += 400) {
      const isChange = time === 4_000;
      const content = { ...NOTHING, writtenShare: isChange ? 0.1 : 0 };
      availability.recordAnswer(watchFrom(time - 400), content, time);
    }
    availability.recordAnswer(watchFrom(8_000), REMOVALS, 8_100);
    expect(availability.returnedAt).to.equal(Number.NEGATIVE_INFINITY);
    expect(availability.hasServed(10, 8_100)).to.equal(true);
  });

  // Guards against targets that are kept after they left: all entries return at
  // once after an outage, which looks like heartbeats that cease then.
  it("takes no entries that return after an outage for heartbeats", () => {
    const availability = new StoreAvailability(HEARTBEAT);
    availability.recordAnswer(listFrom(0), NOTHING, 10);
    availability.recordFailure(watchFrom(400), 2_000);
    const content = { ...WRITES, notBefore: 3_900 };
    availability.recordAnswer(listFrom(4_000), content, 4_010);
    for (let time = 4_400; time <= 8_000; time += 400) {
      availability.recordAnswer(watchFrom(time - 400), NOTHING, time);
    }
    availability.recordAnswer(watchFrom(8_000), REMOVALS, 8_100);
    expect(availability.returnedAt).to.equal(4_010);
    expect(availability.hasServed(4_010, 8_100)).to.equal(true);
  });

  it("has served while answers come without a gap", () => {
    const availability = servingStore();
    expect(availability.hasServed(1_000, 10_500)).to.equal(true);
    expect(availability.hasServed(999, 10_500)).to.equal(false);
    expect(availability.hasServed(1_000, 12_400)).to.equal(false);
    expect(availability.servesSince(10_500)).to.equal(1_000);
    expect(availability.servesSince(12_400)).to.equal(12_400);
  });

  // Guards against live targets that are dropped: an outage of the store fits
  // between two answers.
  it("has not served across a gap between answers", () => {
    const availability = servingStore();
    const content = { ...WRITES, notBefore: 12_300 };
    availability.recordAnswer(watchFrom(12_100), content, 12_450);
    expect(availability.hasServed(10_000, 12_450)).to.equal(false);
    expect(availability.servesSince(12_450)).to.equal(12_450);
  });

  // Guards against live targets that are dropped: the store answers, but no
  // target can write.
  it("has not served while no target wrote", () => {
    const availability = servingStore();
    for (let time = 10_400; time <= 13_200; time += 400) {
      availability.recordAnswer(watchFrom(time - 400), NOTHING, time);
    }
    expect(availability.hasServed(9_500, 13_200)).to.equal(false);
  });

  // Guards against targets that are kept for long after they left: this process
  // alone was cut off, and takes that for an outage of the store.
  it("has served in an outage of its own that another one did not see", () => {
    const availability = servingStore();
    availability.recordFailure(watchFrom(10_200), 11_600);
    availability.recordAnswer(listFrom(12_500), WRITES, 12_510);
    expect(availability.hasServed(5_000, 12_510)).to.equal(false);
    const span = { age: 100, length: 7_600 };
    availability.recordService(span, { notBefore: 12_700, now: 12_700 });
    expect(availability.hasServed(5_000, 12_700)).to.equal(true);
  });

  // Guards against live targets that are dropped: a process that has been paused
  // reads what another one said before an outage.
  it("does not join times of service across an outage", () => {
    const availability = servingStore();
    availability.recordFailure(watchFrom(10_200), 11_600);
    const content = { ...WRITES, notBefore: 13_500 };
    availability.recordAnswer(listFrom(14_000), content, 14_010);
    const span = { age: 100, length: 5_100 };
    availability.recordService(span, { notBefore: 10_200, now: 14_010 });
    expect(availability.hasServed(10_000, 14_010)).to.equal(false);
    expect(availability.hasServed(14_010, 14_010)).to.equal(true);
  });
});
