import { expect } from "chai";
import {
  COMMON_SETTLING_TIME,
  EXPLAINED_SETTLING_TIME,
} from "./crash_candidates.ts";
import { CrashEvidence, SETTLING_TIME } from "./crash_evidence.ts";
import { partKey } from "./types.ts";
import type { ICrashCause, ISuspectCounts } from "./types.ts";

const SERVICE = "summaries";

/** Records crashes, each with the number of calls that had each part. */
class Crashes {
  readonly evidence = new CrashEvidence();
  now = 0;
  #serial = 0;

  record(
    calls: Readonly<Record<string, number>>,
    target?: string,
    requests: readonly string[] = [],
  ): void {
    this.#serial += 1;
    const suspects: Record<string, ISuspectCounts> = {};
    for (const [part, count] of Object.entries(calls)) {
      suspects[part] = { calls: count, newCalls: count };
    }
    const serial = this.#serial;
    const report = { serial, target: target ?? `engine-${serial}`, age: 0 };
    this.evidence.record(
      { ...report, startedAt: 1, service: SERVICE, suspects, requests },
      this.now,
    );
  }

  /** Records crashes half a second apart. */
  recordEach(...crashes: readonly Readonly<Record<string, number>>[]): void {
    for (const calls of crashes) {
      this.now += 500;
      this.record(calls);
    }
  }

  prove(part: string): void {
    this.evidence.recordProof(partKey(SERVICE, part), this.now);
  }

  /** The parts of each cause that is found once the reports have settled. */
  find(known: readonly ICrashCause[] = []): readonly (readonly string[])[] {
    this.now += SETTLING_TIME;
    const found = this.evidence.findCauses(known, this.now);
    return found.map(({ parts }) => parts);
  }
}

describe("the cause of crashes", () => {
  // Guards against calls that crash one engine after the other.
  it("is the part that four crashes have in common", () => {
    const crashes = new Crashes();
    crashes.recordEach(
      { bad: 1, a: 2 },
      { bad: 1, b: 2 },
      { bad: 1, c: 1 },
      { bad: 1, d: 1 },
    );
    expect(crashes.find()).to.deep.equal([["bad"]]);
  });

  // Guards against calls refused for engines that end by themselves.
  it("is no part after three crashes, or four of two calls", () => {
    const crashes = new Crashes();
    crashes.recordEach({ a: 1 }, { a: 1 }, { a: 1 });
    expect(crashes.find()).to.deep.equal([]);
    const repeated = new Crashes();
    for (const serial of [1, 2, 3, 4]) {
      const suspects = { a: { calls: 1, newCalls: serial % 2 } };
      const report = { serial, target: `engine-${serial}`, age: 0 };
      const crash = { ...report, startedAt: 1, service: SERVICE, suspects };
      repeated.evidence.record(crash, (repeated.now += 500));
    }
    expect(repeated.find()).to.deep.equal([]);
  });

  // Guards against sound calls refused because their common part is among the
  // suspects of every crash.
  it("is not a part on which answers go on", () => {
    const crashes = new Crashes();
    for (let count = 0; count < 20; count += 1) {
      crashes.recordEach({ common: 4 });
      crashes.prove("common");
    }
    expect(crashes.find()).to.deep.equal([]);
  });

  // Guards against all sound calls of a route refused for the parts that they
  // share with a few requests, each of which crashes several engines by itself,
  // when the proofs of these parts come later than the crashes.
  it("is not a part of requests that explain the crashes themselves", () => {
    const crashes = new Crashes();
    crashes.prove("common");
    for (let count = 0; count < 9; count += 1) {
      crashes.now += 100;
      crashes.record({ common: 4 }, undefined, [`own-${count % 3}`]);
    }
    crashes.now += 2 * COMMON_SETTLING_TIME;
    expect(crashes.find()).to.deep.equal([]);
    crashes.prove("common");
    crashes.now += EXPLAINED_SETTLING_TIME;
    expect(crashes.find()).to.deep.equal([]);
  });

  // Guards against a part that was sound and has begun to crash engines, under
  // calls that are all retried.
  it("is such a part if no answer on it goes on any more", () => {
    const crashes = new Crashes();
    crashes.prove("common");
    for (let count = 0; count < 9; count += 1) {
      crashes.now += 100;
      crashes.record({ common: 4 }, undefined, [`own-${count % 3}`]);
    }
    crashes.now += EXPLAINED_SETTLING_TIME;
    expect(crashes.find()).to.deep.equal([["common"]]);
  });

  // Guards against all calls of an account refused for one part of a few, when
  // no answer can show the common part to be sound any more.
  it("is the rarest of the parts that explain the crashes", () => {
    const crashes = new Crashes();
    crashes.recordEach(
      { common: 9, bad: 1 },
      { common: 12, bad: 2 },
      { common: 7 },
      { common: 9, bad: 1 },
      { common: 8, bad: 1 },
    );
    expect(crashes.find()).to.deep.equal([["bad"]]);
  });

  // Guards against sound calls refused since engines of one domain, or all of
  // those that a process reaches, are lost at the same moment.
  it("is none of the parts in engines that crash together", () => {
    const crashes = new Crashes();
    for (let event = 0; event < 4; event += 1) {
      crashes.now += 1_000;
      for (let engine = 0; engine < 8; engine += 1) {
        crashes.record(engine === 0 ? { rare: 1 } : { [`other-${engine}`]: 1 });
      }
      for (let engine = 1; engine < 8; engine += 1) {
        crashes.prove(`other-${engine}`);
      }
    }
    expect(crashes.find()).to.deep.equal([]);
  });

  it("is found for two parts at the same time", () => {
    const crashes = new Crashes();
    for (let count = 0; count < 5; count += 1) {
      crashes.recordEach({ bad: 1, a: 3 }, { worse: 1, a: 2 });
    }
    crashes.prove("a");
    expect(crashes.find()).to.have.deep.members([["bad"], ["worse"]]);
  });

  // Guards against crashes that go on since two parts crash so many engines at
  // once that their crashes look like one from outside.
  it("is found for two parts that crash many engines at once", () => {
    const crashes = new Crashes();
    for (let count = 0; count < 6; count += 1) {
      for (const part of ["bad", "worse"]) {
        crashes.now += 30;
        crashes.record({ [part]: 1, common: 2 });
      }
    }
    crashes.prove("common");
    crashes.now += 30;
    expect(crashes.find()).to.have.deep.members([["bad"], ["worse"]]);
  });

  // Guards against crashes that go on since the reports of several processes
  // on one engine look like several crashes, or like none.
  it("counts an engine once, whoever reports it", () => {
    const crashes = new Crashes();
    for (const target of ["x", "y", "z"]) {
      crashes.now += 500;
      for (let report = 0; report < 2; report += 1) {
        crashes.now += 10;
        crashes.record({ bad: 1 }, target);
      }
    }
    expect(crashes.find()).to.deep.equal([]);
    crashes.recordEach({ bad: 1 });
    expect(crashes.find()).to.deep.equal([["bad"]]);
  });

  // Guards against a sound part refused for good because it only came together
  // with one that crashes engines.
  it("is both of two parts that only come together, then the one alone", () => {
    const crashes = new Crashes();
    crashes.recordEach(
      { bad: 1, along: 1 },
      { bad: 1, along: 1 },
      { bad: 1, along: 1 },
      { bad: 1, along: 1 },
    );
    expect(crashes.find()).to.deep.equal([["along", "bad"]]);
    const known = [{ service: SERVICE, parts: ["along", "bad"] }];
    expect(crashes.find(known)).to.deep.equal([]);
    crashes.prove("along");
    crashes.recordEach({ bad: 1 });
    expect(crashes.find(known)).to.deep.equal([["bad"]]);
  });

  it("does not count crashes that a known cause explains", () => {
    const crashes = new Crashes();
    crashes.recordEach(
      { bad: 1, rare: 1 },
      { bad: 1, rare: 1 },
      { bad: 1, rare: 1 },
      { bad: 1, rare: 1 },
      { bad: 1, rare: 2 },
    );
    const known = [{ service: SERVICE, parts: ["bad"] }];
    expect(crashes.find(known)).to.deep.equal([]);
  });

  it("waits until all processes have reported", () => {
    const crashes = new Crashes();
    crashes.recordEach({ a: 1 }, { a: 1 }, { a: 1 }, { a: 1 });
    const early = crashes.evidence.findCauses([], crashes.now);
    expect(early).to.deep.equal([]);
    crashes.now += SETTLING_TIME / 2;
    crashes.prove("a");
    expect(crashes.find()).to.deep.equal([]);
  });

  // Guards against crashes that a process which has just started does not count,
  // as they are older than its clock.
  it("counts crashes from before the start of the process", () => {
    const crashes = new Crashes();
    for (const serial of [1, 2, 3, 4]) {
      const suspects = { bad: { calls: 1, newCalls: 1 } };
      const report = { serial, target: `engine-${serial}`, startedAt: 1 };
      const age = 10_000 - serial * 500;
      const crash = { ...report, age, service: SERVICE, suspects };
      crashes.evidence.record(crash, crashes.now);
    }
    expect(crashes.find()).to.deep.equal([["bad"]]);
  });

  it("forgets crashes that are long past", () => {
    const crashes = new Crashes();
    crashes.recordEach({ bad: 1 }, { bad: 1 }, { bad: 1 });
    crashes.now += 700_000;
    crashes.recordEach({ bad: 1 });
    expect(crashes.find()).to.deep.equal([]);
  });
});
