import { expect } from "chai";
import fc from "fast-check";
import { MemberNetwork } from "../../../test/support/member_network.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import { XxhashHash } from "../../adapters/hash/xxhash_hash.ts";
import { MEMBERSHIP_TIMING } from "./timing.ts";
import { MemberState } from "./types.ts";

/** The aim: a dead daemon is known in its zone within this, milliseconds. */
const DEATH_KNOWN_WITHIN = 5_000;

/** From a heal to equal views, milliseconds. */
const VIEWS_EQUAL_WITHIN = 20_000;

const hash = await XxhashHash.create();

function startZone(size: number, options: { seed: number; loss: number }) {
  const random = new SeededRandom(options.seed);
  const { loss } = options;
  const network = new MemberNetwork({ random, hash, loss, delay: 10 });
  for (let index = 0; index < size; index++) {
    const contacts = network.nodes.slice(0, 2).map(({ member }) => member);
    network.add(`daemon-${String(index).padStart(3, "0")}`, "zone", contacts);
  }
  const isWhole = () =>
    network.nodes.every(({ membership }) => membership.live.length >= size - 1);
  expect(network.run(30_000, isWhole), "the zone comes together").to.equal(
    true,
  );
  return { network, isWhole };
}

const zones = fc.record({
  size: fc.integer({ min: 3, max: 40 }),
  seed: fc.nat(1_000_000),
});

describe("membership", () => {
  // A daemon dies without a word. Until the others know, they count on it to
  // poll targets and to watch the plan lists.
  it("knows a dead daemon in its zone within a bound", () => {
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

  // Five in a hundred messages are lost each way. A live daemon may come under
  // suspicion, but must clear itself before it counts as dead anywhere.
  it("lets no false suspicion outlive the suspicion time", () => {
    const property = fc.property(zones, ({ size, seed }) => {
      const { network } = startZone(size, { seed, loss: 0.05 });
      const isAnyHeldDead = () =>
        network.nodes.some(({ membership }) =>
          network.nodes.some(
            ({ member }) =>
              membership.stateOf(member.daemon) === MemberState.Dead,
          ),
        );
      for (let step = 0; step < 600; step++) {
        network.run(100);
        expect(isAnyHeldDead(), `at ${network.now}`).to.equal(false);
      }
    });
    fc.assert(property, { seed: 6003, numRuns: 12 });
  });

  // The zone falls in two long enough for each side to bury the other. When
  // the cut ends nobody restarts, yet every view must be whole again.
  it("brings the views together after a cut heals", () => {
    const cut = fc.integer({ min: 1, max: 20 });
    const property = fc.property(zones, cut, ({ size, seed }, sideSize) => {
      const { network, isWhole } = startZone(size, { seed, loss: 0.02 });
      network.nodes.slice(0, sideSize).forEach((node) => (node.side = 1));
      network.run(15_000);
      network.nodes.forEach((node) => (node.side = 0));
      expect(network.run(VIEWS_EQUAL_WITHIN, isWhole)).to.equal(true);
    });
    fc.assert(property, { seed: 6004, numRuns: 30 });
  });

  // An instance stops for a while, as in a long collection of garbage, and
  // goes on without knowing that it was taken for dead.
  it("takes a paused daemon back under its old identity", () => {
    const { network, isWhole } = startZone(12, { seed: 7, loss: 0 });
    const paused = network.nodes[5]!;
    paused.isUp = false;
    network.run(10_000);
    expect(network.nodes[0]!.membership.stateOf(paused.member.daemon)).to.equal(
      MemberState.Dead,
    );
    paused.isUp = true;
    expect(network.run(VIEWS_EQUAL_WITHIN, isWhole)).to.equal(true);
    expect(paused.membership.incarnation).to.be.above(0);
  });

  // A daemon is replaced at once under the same address: the address answers,
  // so no probe ever fails, but the old identity must go.
  it("drops an identity whose address answers as another", () => {
    const { network } = startZone(3, { seed: 8, loss: 0 });
    const [asker, old, other] = network.nodes;
    const { membership } = asker!;
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

  it("tells a departure at once", () => {
    const { network } = startZone(6, { seed: 9, loss: 0 });
    const [leaving, told] = network.nodes;
    leaving!.membership.leave();
    const message = leaving!.membership.composeAnswer(told!.member.daemon);
    told!.membership.handleProbe(message, network.now);
    expect(told!.membership.stateOf(leaving!.member.daemon)).to.equal(
      MemberState.Left,
    );
  });

  it("puts a bound on what a message carries", () => {
    let largest = 0;
    const network = new MemberNetwork({
      random: new SeededRandom(10),
      hash,
      loss: 0,
      delay: 10,
      onSent: (_, { news }) => (largest = Math.max(largest, news.length)),
    });
    const first = network.add("daemon-first", "zone", []);
    for (let index = 0; index < 80; index++) {
      network.add(`daemon-${index}`, "zone", [first.member]);
    }
    network.run(10 * MEMBERSHIP_TIMING.period);
    expect(largest).to.be.within(1, 9);
  });
});
