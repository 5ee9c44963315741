import { expect } from "chai";
import { settle } from "../../../test/support/forwarding_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import { ForwardingPeers } from "./forwarding_peers.ts";

const NEAR = { address: "near:1", zone: "one" };
const FAR = { address: "far:1", zone: "two" };
const NONE: ReadonlySet<string> = new Set();

class Harness {
  readonly clock = new ManualClock();
  /** What pings are answered with; null for no answer. */
  answer: readonly string[] | null = [];
  readonly pinged: string[] = [];
  readonly peers = new ForwardingPeers({
    link: {
      ping: async (address) => {
        this.pinged.push(address);
        await new Promise<void>((resolve) => {
          this.clock.after(this.answer === null ? 400 : 1, resolve);
        });
        return this.answer;
      },
    },
    clock: this.clock,
    random: new SeededRandom(20261203),
    log: new RecordingLog(),
    zone: "one",
  });

  constructor() {
    this.peers.update([NEAR, FAR]);
  }

  choose(excluded = NONE): string | null {
    return this.peers.choose("summaries", excluded);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.clock.advance(50);
      await settle();
    }
  }
}

describe("the peers that a process forwards to", () => {
  it("are those of its own zone until they hold many more calls", () => {
    const harness = new Harness();
    const chosen: (string | null)[] = [];
    for (let sent = 0; sent < 8; sent += 1) {
      const address = harness.choose();
      chosen.push(address);
      harness.peers.watch(address ?? "", () => undefined);
    }
    expect(chosen.slice(0, 3)).to.deep.equal(["near:1", "near:1", "near:1"]);
    expect(chosen).to.include("far:1");
  });

  // Guards against calls that are refused for a second because the only other
  // process has failed once.
  it("are used although they failed if no other is left", () => {
    const harness = new Harness();
    harness.peers.recordFailure("near:1");
    expect(harness.choose()).to.equal("far:1");
    harness.peers.recordFailure("far:1");
    expect(harness.choose()).to.not.equal(null);
  });

  // Guards against callers that wait although no process reaches the targets.
  it("do not count while the service is out of their reach", async () => {
    const harness = new Harness();
    harness.peers.recordOutOfReach("near:1", "summaries");
    harness.peers.recordOutOfReach("far:1", "summaries");
    expect(harness.peers.hasPeer("summaries")).to.equal(false);
    expect(harness.peers.hasPeer("delivery")).to.equal(true);
    await harness.advance(1_000);
    expect(harness.peers.hasPeer("summaries")).to.equal(true);
  });

  // Guards against calls at a frozen process that wait for their deadline: its
  // connections stay open.
  it("lose their calls when they answer no pings", async () => {
    const harness = new Harness();
    let lost = 0;
    harness.peers.watch("near:1", () => (lost += 1));
    await harness.advance(2_000);
    expect(lost).to.equal(0);
    harness.answer = null;
    await harness.advance(1_500);
    expect(lost).to.be.greaterThan(0);
    expect(harness.choose()).to.equal("far:1");
  });

  // Guards against all calls at a busy process that are given up together: it
  // answers pings late while it sends on.
  it("keep their calls while responses come through them", async () => {
    const harness = new Harness();
    let lost = 0;
    harness.peers.watch("near:1", () => (lost += 1));
    harness.answer = null;
    for (let passed = 0; passed < 3_000; passed += 50) {
      harness.peers.recordAnswer("near:1");
      await harness.advance(50);
    }
    expect(lost).to.equal(0);
  });

  it("are pinged only while they hold calls", async () => {
    const harness = new Harness();
    await harness.advance(2_000);
    expect(harness.pinged).to.deep.equal([]);
    const watch = harness.peers.watch("far:1", () => undefined);
    await harness.advance(1_000);
    expect(new Set(harness.pinged)).to.deep.equal(new Set(["far:1"]));
    watch.dispose();
    await harness.advance(500);
    const { length } = harness.pinged;
    await harness.advance(2_000);
    expect(harness.pinged).to.have.length(length);
  });

  // Guards against calls that find out, second by second, whether a frozen
  // process is back.
  it("get calls again only after they have answered a ping", async () => {
    const harness = new Harness();
    harness.answer = null;
    harness.peers.recordFailure("near:1");
    await harness.advance(5_000);
    expect(harness.choose()).to.equal("far:1");
    harness.answer = [];
    await harness.advance(1_000);
    expect(harness.choose()).to.equal("near:1");
  });

  // Guards against a list without a process that still holds calls, which then
  // would not be pinged any more.
  it("stay watched while they hold calls, though not listed", async () => {
    const harness = new Harness();
    let lost = 0;
    harness.peers.watch("near:1", () => (lost += 1));
    harness.peers.update([FAR]);
    harness.answer = null;
    await harness.advance(1_500);
    expect(lost).to.be.greaterThan(0);
  });
});
