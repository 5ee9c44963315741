/** Spilled requests go to zones with free capacity and are spread over them. */
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

/** Counts how often each zone is the first choice over many draws. */
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
  // Guards against sending all callers of a failed zone to the idle neighbour,
  // which would fill within one summary interval while the other is half full.
  it("spreads requests over the zones by their free capacity", () => {
    const counts = firstChoices([
      zone("idle", { places: 10, running: 0 }),
      zone("half", { places: 10, running: 40 }),
    ]);
    expect(counts.get("idle")).to.be.within(600, 730);
    expect(counts.get("half")).to.be.within(270, 400);
  });

  // Guards against forwarding to a zone that has no complete group left, or
  // whose summaries no longer arrive.
  it("skips zones that cannot serve or whose summary is old", () => {
    const counts = firstChoices([
      zone("failed", { places: 0, running: 0 }),
      zone("silent", { places: 10, running: 0, age: 60_000 }),
      zone("full", { places: 1, running: 50 }),
    ]);
    expect([...counts]).to.deep.equal([["full", 1_000]]);
  });

  // Guards against trying one zone twice while another is never tried.
  it("returns every usable zone once", () => {
    const zones = ["a", "b", "c"].map((name) =>
      zone(name, { places: 3, running: 2 }),
    );
    const targets = chooseSpillTargets(zones, SERVICE, () => 0.5);
    const names = targets.map((target) => target.zone);
    expect(names).to.have.members(["a", "b", "c"]);
  });
});
