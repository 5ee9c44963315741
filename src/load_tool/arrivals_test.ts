/** Guards against load that is not repeatable or misses the profile's rates. */
import { expect } from "chai";
import { planArrivals } from "./arrivals.ts";
import { checkProfile } from "./profile.ts";
import type { ILoadProfile } from "./types.ts";

const PROFILE = `
seed: 11
duration: 20s
streams:
  - name: steady
    credential: secret
    operation: summarizer/headline
    rate: 50
    deadline: 2s
  - name: bursting
    credential: secret
    operation: delivery-api/publish
    rate: 10
    key: true
    deadline: 2s
    bursts: [{ from: 5s, until: 10s, factor: 10 }]
`;

function profile(): ILoadProfile {
  return checkProfile("profile", PROFILE).unwrap();
}

describe("load profile", () => {
  it("plans the same requests for the same seed", () => {
    expect(planArrivals(profile())).to.deep.equal(planArrivals(profile()));
  });

  it("matches the profile's rates inside and outside a burst", () => {
    const arrivals = planArrivals(profile());
    const steady = arrivals.filter(({ stream }) => stream.name === "steady");
    const bursting = arrivals.filter(({ stream }) => stream.name !== "steady");
    const inBurst = bursting.filter(({ at }) => at >= 5_000 && at < 10_000);
    expect(steady.length).to.be.within(900, 1_100);
    expect(inBurst.length).to.be.within(430, 570);
    expect(bursting.length - inBurst.length).to.be.within(110, 190);
    const keys = new Set(bursting.map(({ key }) => key));
    expect(keys.size).to.equal(bursting.length);
  });

  it("reports the line and path of each finding in a profile", () => {
    const wrong = PROFILE.replace("rate: 50", "rate: -1").replace("2s", "2");
    const findings = checkProfile("profile", wrong).unwrapErr();
    const places = findings.map(({ line, path }) => `${line} ${path}`);
    expect(places).to.have.members([
      "8 streams[0].rate",
      "9 streams[0].deadline",
    ]);
  });
});
