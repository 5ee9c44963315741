import { expect } from "chai";
import fc from "fast-check";
import { SimulatedNetwork } from "../../../test/support/simulated_network.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import { XxhashHash } from "../../adapters/hash/xxhash_hash.ts";
import { MEMBERSHIP_TIMING } from "./timing.ts";
import { MemberState } from "./types.ts";

/** A dead daemon must be known in its zone within this time, milliseconds. */
const DEATH_KNOWN_WITHIN = 5_000;

/** Time from the end of a partition to equal views, milliseconds. */
const VIEWS_EQUAL_WITHIN = 20_000;

const hash = await XxhashHash.create();

function startZone(size: number, options: { seed: number; loss: number }) {
  const random = new SeededRandom(options.seed);
  const { loss } = options;
  const network = new SimulatedNetwork({
    random,
    hash,
    lossRate: loss,
    maximumDelay: 10,
  });
  for (let index = 0; index < size; index++) {
    const contacts = network.nodes.slice(0, 2).map(({ member }) => member);
    network.addNode(
      `daemon-${String(index).padStart(3, "0")}`,
      "zone",
      contacts,
    );
  }
  const isConverged = () =>
    network.nodes.every(({ membership }) => membership.live.length >= size - 1);
  expect(network.run(30_000, isConverged), "the views converge").to.equal(true);
  return { network, isConverged };
}

const zones = fc.record({
  size: fc.integer({ min: 3, max: 40 }),
  seed: fc.nat(1_000_000),
});

describe("membership", () => {
  // Guards against a crash that is detected too late: until then the others
  // rely on the dead daemon to poll targets and to watch the plan lists.
  it("detects a dead daemon in its zone within a bound", () => {
    const property = fc.property(zones, fc.nat(), ({ size, seed }, pick) => {
      const { network } = startZone(size, { seed, loss: 0 });
      network.run(3_000);
      const dead = network.nodes[pick % size]!;
      dead.isUp = false;
      const isKnown = () =>
        network.nodes.every(
          ({ isUp, membership }) =>
            !isUp || !membership.live.includes(dead.member),
        );
      expect(network.run(DEATH_KNOWN_WITHIN, isKnown)).to.equal(true);
    });
    fc.assert(property, { seed: 6002, numRuns: 60 });
  });

  // Guards against live daemons declared dead: with 5 % of messages lost each
  // way one may be suspected, but must refute that before any other declares
  // it dead.
  it("refutes false suspicions within the suspicion time", () => {
    const property = fc.property(zones, ({ size, seed }) => {
      const { network } = startZone(size, { seed, loss: 0.05 });
      const isAnyDeclaredDead = () =>
        network.nodes.some(({ membership }) =>
          network.nodes.some(
            ({ member }) =>
              membership.stateOf(member.daemon) === MemberState.Dead,
          ),
        );
      for (let step = 0; step < 600; step++) {
        network.run(100);
        expect(isAnyDeclaredDead(), `at ${network.now}`).to.equal(false);
      }
    });
    fc.assert(property, { seed: 6003, numRuns: 12 });
  });

  // Guards against views that stay incomplete after a network partition that
  // lasted until each side had declared the other dead; no daemon restarts.
  it("merges the views after a partition ends", () => {
    const sideSizes = fc.integer({ min: 1, max: 20 });
    const property = fc.property(
      zones,
      sideSizes,
      ({ size, seed }, sideSize) => {
        const { network, isConverged } = startZone(size, { seed, loss: 0.02 });
        network.nodes
          .slice(0, sideSize)
          .forEach((node) => (node.partition = 1));
        network.run(15_000);
        network.nodes.forEach((node) => (node.partition = 0));
        expect(network.run(VIEWS_EQUAL_WITHIN, isConverged)).to.equal(true);
      },
    );
    fc.assert(property, { seed: 6004, numRuns: 30 });
  });

  // Guards against a daemon that stays dead in the views of others after its
  // instance was paused, as by a long garbage collection.
  it("accepts a paused daemon again under its old identity", () => {
    const { network, isConverged } = startZone(12, { seed: 7, loss: 0 });
    const paused = network.nodes[5]!;
    paused.isUp = false;
    network.run(10_000);
    expect(network.nodes[0]!.membership.stateOf(paused.member.daemon)).to.equal(
      MemberState.Dead,
    );
    paused.isUp = true;
    expect(network.run(VIEWS_EQUAL_WITHIN, isConverged)).to.equal(true);
    expect(paused.membership.incarnation).to.be.above(0);
  });

  // Guards against an old identity that stays live when its daemon is replaced
  // at once at the same address: the address answers, so no probe ever fails.
  it("drops an identity when another daemon answers at its address", () => {
    const { network } = startZone(3, { seed: 8, loss: 0 });
    const [prober, old, other] = network.nodes;
    const { membership } = prober!;
    const probe = membership
      .tick(network.now)
      .concat(membership.tick(network.now))
      .find((action) => "probe" in action && action.target === old!.member);
    const successor = { ...old!.member, daemon: "daemon-new" };
    const from = {
      member: successor,
      incarnation: 0,
      state: MemberState.Alive,
    };
    membership.handleAnswer(
      probe !== undefined && "probe" in probe ? probe.probe : 0,
      { from, viewHash: 0, news: [] },
      network.now,
    );
    expect(membership.live.map(({ daemon }) => daemon)).to.deep.equal(
      [other!.member.daemon, "daemon-new"].sort(),
    );
  });

  it("announces a departure at once", () => {
    const { network } = startZone(6, { seed: 9, loss: 0 });
    const [leaving, receiver] = network.nodes;
    leaving!.membership.leave();
    const message = leaving!.membership.composeAnswer(receiver!.member.daemon);
    receiver!.membership.handleProbe(message, network.now);
    expect(receiver!.membership.stateOf(leaving!.member.daemon)).to.equal(
      MemberState.Left,
    );
  });

  // Guards against messages that exceed a packet when many daemons join at
  // once: one holds at most MAXIMUM_UPDATES, and one more about its receiver.
  it("limits the updates in a message", () => {
    let largest = 0;
    const network = new SimulatedNetwork({
      random: new SeededRandom(10),
      hash,
      lossRate: 0,
      maximumDelay: 10,
      onMessageSent: (_, { news }) =>
        (largest = Math.max(largest, news.length)),
    });
    const first = network.addNode("daemon-first", "zone", []);
    for (let index = 0; index < 80; index++) {
      network.addNode(`daemon-${index}`, "zone", [first.member]);
    }
    network.run(10 * MEMBERSHIP_TIMING.period);
    expect(largest).to.be.within(1, 9);
  });
});
