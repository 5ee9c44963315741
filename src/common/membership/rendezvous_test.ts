import { expect } from "chai";
import fc from "fast-check";
import { XxhashHash } from "../../adapters/hash/xxhash_hash.ts";
import { LiveDaemons } from "./live_daemons.ts";
import { chooseByRendezvous } from "./rendezvous.ts";

const hash = await XxhashHash.create();
const names = (prefix: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${prefix}-${index}`);

describe("rendezvous hashing", () => {
  it("moves only the duties of a lost daemon", () => {
    const count = fc.integer({ min: 3, max: 40 });
    const property = fc.property(count, fc.nat(), (size, pick) => {
      const daemons = names("daemon", size);
      const lost = daemons[pick % size];
      const left = daemons.filter((name) => name !== lost);
      for (const duty of names("target", 60)) {
        const before = chooseByRendezvous(duty, daemons, { count: 2, hash });
        const after = chooseByRendezvous(duty, left, { count: 2, hash });
        const kept = before.filter((name) => name !== lost);
        expect(after).to.include.members(kept);
      }
    });
    fc.assert(property, { seed: 6001, numRuns: 50 });
  });

  it("spreads duties evenly enough", () => {
    const daemons = names("daemon", 37);
    const dutyCounts = new Map<string, number>();
    for (const duty of names("target", 2_550)) {
      for (const name of chooseByRendezvous(duty, daemons, {
        count: 2,
        hash,
      })) {
        dutyCounts.set(name, (dutyCounts.get(name) ?? 0) + 1);
      }
    }
    const mean = (2_550 * 2) / 37;
    expect(Math.max(...dutyCounts.values())).to.be.below(1.5 * mean);
  });

  it("gives a lone daemon every duty", () => {
    const live = new LiveDaemons("daemon-0", hash);
    expect(names("duty", 50).every((duty) => live.isChosen(duty, 1))).to.equal(
      true,
    );
  });
});
