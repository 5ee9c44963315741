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
  });
});
