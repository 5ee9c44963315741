/** Requests a zone cannot serve go where there is room, and not all at once. */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { IZoneSummary } from "../membership/zone_directory.ts";
import { chooseSpillTargets } from "./spill.ts";

const SERVICE = "summarizer";

function zone(
  name: string,
  load: { places: number; running: number; age?: number },
): IZoneSummary {
  const { places, running, age = 0 } = load;
  const loads =
    places === 0 ? [] : [{ service: SERVICE, places, running, queued: 0 }];
  const delegates = ["1", "2"].map((number) => {
    const peerAddress = `${name}${number}`;
    return { daemon: peerAddress, zone: name, peerAddress };
  });
  return { zone: name, daemons: 2, delegates, loads, age };
}

/** How often each zone comes first in many draws. */
function firstChoices(zones: readonly IZoneSummary[]): Map<string, number> {
  const generator = xoroshiro128plus(5);
  const counts = new Map<string, number>();
  for (let draw = 0; draw < 1_000; draw++) {
    const random = () => uniformFloat64(generator);
    const first = chooseSpillTargets(zones, SERVICE, random)[0]?.zone ?? "";
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

describe("spill between zones", () => {
  // A zone goes dark while one neighbour is idle and the other half full.
  // Sent all to the idle one, the callers would fill it within one summary.
  it("spreads over the zones by their room", () => {
    const counts = firstChoices([
      zone("idle", { places: 10, running: 0 }),
      zone("half", { places: 10, running: 40 }),
    ]);
    expect(counts.get("idle")).to.be.within(600, 730);
    expect(counts.get("half")).to.be.within(270, 400);
  });

  it("passes over zones that cannot serve or were long not heard of", () => {
    const counts = firstChoices([
      zone("dark", { places: 0, running: 0 }),
      zone("silent", { places: 10, running: 0, age: 60_000 }),
      zone("full", { places: 1, running: 50 }),
    ]);
    expect([...counts]).to.deep.equal([["full", 1_000]]);
  });

  it("names every usable zone once", () => {
    const zones = ["a", "b", "c"].map((name) =>
      zone(name, { places: 3, running: 2 }),
    );
    const targets = chooseSpillTargets(zones, SERVICE, () => 0.5);
    const names = targets.map((target) => target.zone);
    expect(names).to.have.members(["a", "b", "c"]);
  });
});
