/** Stops beside troubles that a seed chooses, with calls until the end. */
import { expect } from "chai";
import { playLateStops, Trouble } from "./support/late_stops.ts";

/** Seed of the play; `LATE_STOPS_SEED` names another one. */
const SEED = Number(process.env.LATE_STOPS_SEED ?? 20261206);

/** Troubles to choose from; `LATE_STOPS_TROUBLES` names fewer. */
const TROUBLES = Object.values(Trouble).filter((one) =>
  (process.env.LATE_STOPS_TROUBLES ?? one).split(",").includes(one),
);

describe("processes that stop beside a trouble", () => {
  // Guards against calls that are taken in the grace time, passed on, and cut
  // without an answer; and against calls that are answered as not run and run.
  it("lose no call that they have passed on", async () => {
    const played = await playLateStops(SEED, TROUBLES);
    const { troubles, statuses, lost, misreported, stopTimes } = played;
    const counts = [...statuses].map(([one, count]) => `${one}: ${count}`);
    const shown =
      `seed ${SEED}: ${troubles.join(", ")}; ` +
      `${counts.join(", ")}; stops ${stopTimes.join(", ")} ms`;
    if (process.env.LATE_STOPS_REPORT) {
      process.stderr.write(`${shown}\n`);
    }
    expect({ lost, misreported }, shown).to.deep.equal({
      lost: [],
      misreported: [],
    });
  });
});
