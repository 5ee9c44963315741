import { expect } from "chai";
import { ResponseTimes } from "./response_times.ts";

const SERVICE = "delivery";
const UNSEEN = 400;

function timesWith(samples: readonly number[]): ResponseTimes {
  const times = new ResponseTimes();
  for (const sample of samples) {
    times.startSend(SERVICE, 0).complete(sample);
  }
  return times;
}

function expectedAt(times: ResponseTimes, now: number): number {
  return times.expectedTime(SERVICE, { now, unseen: UNSEEN });
}

describe("ResponseTimes", () => {
  it("assumes a time until a response is complete", () => {
    const times = new ResponseTimes();
    times.startSend(SERVICE, 0).dispose();
    expect(expectedAt(times, 10)).to.equal(UNSEEN);
    expect(expectedAt(timesWith([50]), 10)).to.equal(50);
  });

  // Guards against calls that are sent late in the grace time as if their targets
  // were fast, while all calls before them are still open.
  it("follows open calls that last longer than any before", () => {
    const times = timesWith([50]);
    const open = Array.from({ length: 12 }, () => times.startSend(SERVICE, 0));
    expect(expectedAt(times, 6_000)).to.be.within(5_500, 6_000);
    open.forEach((send) => send.dispose());
    expect(expectedAt(times, 6_000)).to.equal(50);
  });

  // Guards against refusals of all calls because of one silent target.
  it("weighs one open call little", () => {
    const times = timesWith([50]);
    times.startSend(SERVICE, 0);
    expect(expectedAt(times, 6_000)).to.be.lessThan(2_000);
  });

  it("takes each send into account once", () => {
    const times = timesWith([50]);
    const send = times.startSend(SERVICE, 0);
    send.complete(90);
    send.complete(1_000);
    expect(expectedAt(times, 2_000)).to.equal(60);
  });
});
