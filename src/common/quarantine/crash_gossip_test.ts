import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { CrashGossip } from "./crash_gossip.ts";
import { CrashingRequests } from "./crashing_requests.ts";
import type { IRequestCrash } from "./types.ts";

const CALL = { service: "summaries", promptParts: [], fingerprint: "own-1" };

function crashOf(target: string): IRequestCrash {
  const { service, fingerprint } = CALL;
  return { service, fingerprint, target, startedAt: 1, age: 0 };
}

/** Processes in a ring; each one knows the next. */
class Ring {
  readonly clock = new ManualClock();
  readonly log = new RecordingLog();
  readonly requests: CrashingRequests[] = [];
  readonly gossips: CrashGossip[] = [];
  /** Processes that answer nothing. */
  readonly silent = new Set<number>();
  messages = 0;

  constructor(size: number, peersOf: (index: number) => readonly number[]) {
    for (let index = 0; index < size; index += 1) {
      const requests = new CrashingRequests();
      this.requests.push(requests);
      this.gossips.push(
        new CrashGossip({
          link: {
            tellCrashes: async (address, news) => {
              this.messages += 1;
              const peer = Number(address);
              const gossip = this.gossips[peer];
              return this.silent.has(peer) ? null : gossip!.handle(news);
            },
          },
          peers: () => peersOf(index).map(String),
          requests,
          clock: this.clock,
          log: this.log,
        }),
      );
    }
  }

  counts(): readonly number[] {
    const now = this.clock.now();
    return this.requests.map((one) => one.count(CALL, now));
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < 200; turn += 1) {
      await Promise.resolve();
    }
  }
}

describe("news of requests that crash targets", () => {
  // Guards against a request that reaches a process which does not know of it.
  it("reach all processes, though each one knows only a few", async () => {
    const size = 12;
    const ring = new Ring(size, (index) => [
      (index + 1) % size,
      (index + 2) % size,
    ]);
    ring.requests[3]?.record(crashOf("i-1"), 0);
    void ring.gossips[3]?.tell([crashOf("i-1")]);
    await ring.settle();
    expect(ring.counts()).to.deep.equal(Array(size).fill(1));
    expect(ring.messages).to.be.at.most(2 * size);
  });

  // Guards against news that end at a process that is stopped or away.
  it("pass around processes that do not answer", async () => {
    const size = 12;
    const ring = new Ring(size, (index) => [
      (index + 1) % size,
      (index + 2) % size,
    ]);
    ring.silent.add(5).add(9);
    ring.requests[3]?.record(crashOf("i-1"), 0);
    void ring.gossips[3]?.tell([crashOf("i-1")]);
    await ring.settle();
    const others = ring.counts().filter((_, index) => !ring.silent.has(index));
    expect(others).to.deep.equal(Array(size - 2).fill(1));
    expect(ring.log.fieldsOf("crash_news_unanswered")).to.not.deep.equal([]);
  });

  // Guards against a request that is sent on by a process that has restarted.
  it("are fetched by a process that starts later", async () => {
    const ring = new Ring(2, (index) => [1 - index]);
    ring.requests[0]?.record(crashOf("i-1"), 0);
    ring.requests[0]?.record(crashOf("i-2"), 0);
    ring.silent.add(0);
    ring.gossips[1]?.start();
    ring.clock.advance(1_000);
    await ring.settle();
    expect(ring.counts()).to.deep.equal([2, 0]);
    ring.silent.delete(0);
    ring.clock.advance(1_000);
    await ring.settle();
    expect(ring.counts()).to.deep.equal([2, 2]);
    const { messages } = ring;
    ring.clock.advance(5_000);
    await ring.settle();
    expect(ring.messages).to.equal(messages);
  });
});

describe("CrashingRequests", () => {
  it("counts each crash once, whoever tells of it", () => {
    const requests = new CrashingRequests();
    expect(requests.record(crashOf("i-1"), 0)).to.equal(true);
    expect(requests.record(crashOf("i-1"), 50)).to.equal(false);
    expect(requests.record(crashOf("i-2"), 50)).to.equal(true);
    expect(requests.count(CALL, 100)).to.equal(2);
    expect(requests.count({ ...CALL, service: "other" }, 100)).to.equal(0);
  });

  // Guards against a request that is refused for good after a wrong finding.
  it("forgets crashes after ten minutes, or once an answer goes on", () => {
    const requests = new CrashingRequests();
    requests.record(crashOf("i-1"), 0);
    requests.record({ ...crashOf("i-2"), age: 300_000 }, 0);
    expect(requests.count(CALL, 299_000)).to.equal(2);
    expect(requests.count(CALL, 301_000)).to.equal(1);
    requests.recordProof(CALL);
    expect(requests.count(CALL, 301_000)).to.equal(0);
  });
});
