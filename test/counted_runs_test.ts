/** Streams whose engines break off, and how many engines run each of them. */
import { expect } from "chai";
import { countStreams } from "./support/counted_streams.ts";
import type { ICountedResult } from "./support/counted_streams.ts";
import { EntryFleet } from "./support/entry_fleet.ts";
import { SeededRandom } from "./support/seeded_random.ts";

const ENGINES = 40;
const PROCESSES = 3;

/** Attempts that the route of the streams allows. */
const ATTEMPTS = 2;

/** Milliseconds. */
const LENGTH = 12_000;

/** Share of the runs that lose their answers. */
const LOST_SHARE = 0.25;

/** Milliseconds between two crashes of members. */
const CRASH_PERIOD = 400;

/** Milliseconds until an engine in the crash tests begins its answer. */
const START_DELAY = 500;

/** Seed of the load; `COUNTED_RUNS_SEED` names another one. */
const SEED = Number(process.env.COUNTED_RUNS_SEED ?? 20261204);

interface ITrouble {
  readonly losesAnswers: boolean;
  readonly crashesMembers: boolean;
}

async function play(trouble: ITrouble): Promise<ICountedResult> {
  await using fleet = new EntryFleet(ENGINES);
  await fleet.start(PROCESSES);
  applyTrouble(fleet, trouble);
  let crashes = 0;
  return await countStreams(fleet, {
    length: LENGTH,
    seed: SEED,
    disturb: (elapsed, random) => {
      if (trouble.crashesMembers && elapsed > (crashes + 1) * CRASH_PERIOD) {
        crashes += 1;
        crashMember(fleet, random);
      }
    },
  });
}

function applyTrouble(
  { engines }: EntryFleet,
  { losesAnswers, crashesMembers }: ITrouble,
): void {
  const random = new SeededRandom(SEED);
  for (const engine of engines) {
    engine.startDelay = crashesMembers ? START_DELAY : 0;
    engine.losesAnswer = () => losesAnswers && random.next() < LOST_SHARE;
  }
}

/** Crashes the other member of a group whose head has calls. */
function crashMember({ engines }: EntryFleet, random: SeededRandom): void {
  const heads = engines.filter(({ isServing, activeRuns }) => {
    return isServing && activeRuns > 0;
  });
  const head = heads[Math.floor(random.next() * heads.length)];
  const member = engines.find(
    (one) => one !== head && one.group === head?.group && !one.isDown,
  );
  member?.crash();
}

function expectCounted(result: ICountedResult): void {
  const { whole, most, beyond } = result;
  const shown = `whole ${whole.toFixed(3)}, at most ${most} engines`;
  expect(beyond(ATTEMPTS), shown).to.equal(0);
}

describe("streams whose engines break off", () => {
  // Guards against streams that run on more engines than their route allows,
  // since a run whose answer was lost before its first event is not counted.
  it("run on no more engines than allowed if answers are lost", async () => {
    expectCounted(await play({ losesAnswers: true, crashesMembers: false }));
  });

  // Guards against streams that run on more engines than their route allows,
  // since the run of a head that goes on is not counted once its group is lost.
  it("run on no more engines than allowed if members crash", async () => {
    expectCounted(await play({ losesAnswers: false, crashesMembers: true }));
  });

  it("run on no more engines than allowed if both happen", async () => {
    expectCounted(await play({ losesAnswers: true, crashesMembers: true }));
  });
});
