/** The number of warm spares for the two weights. */
import { expect } from "chai";
import { chooseGroupCount } from "./spare_count.ts";

/** Milliseconds. */
const HOUR = 3_600_000;
const FIGURES = {
  timeBetweenFailures: 55 * 24 * HOUR,
  returnTime: 8 * HOUR,
  healTime: 60_000,
};

interface ICase {
  readonly title: string;
  readonly engines: number;
  /** Of group downtime and of stranded accelerators. */
  readonly weights: [number, number];
  /** Milliseconds. */
  readonly returnTime?: number;
  readonly groups: number;
  readonly spares: number;
}

const CASES: readonly ICase[] = [
  {
    title: "an unattended night and a high weight of downtime",
    engines: 20,
    weights: [100, 1],
    groups: 4,
    spares: 4,
  },
  {
    title: "equal weights",
    engines: 20,
    weights: [1, 1],
    groups: 5,
    spares: 0,
  },
  {
    title: "a high weight of downtime but instances replaced soon",
    engines: 20,
    weights: [100, 1],
    returnTime: HOUR / 4,
    groups: 5,
    spares: 0,
  },
  {
    title: "an engine left over from complete groups",
    engines: 21,
    weights: [100, 1],
    groups: 5,
    spares: 1,
  },
  {
    title: "a domain of one group",
    engines: 4,
    weights: [1_000_000, 1],
    groups: 1,
    spares: 0,
  },
  {
    title: "too few engines for a group",
    engines: 3,
    weights: [100, 1],
    groups: 0,
    spares: 3,
  },
];

describe("warm spares", () => {
  for (const { title, engines, groups, spares, ...entry } of CASES) {
    it(`are ${spares} of ${engines} with ${title}`, () => {
      const [groupDowntime, strandedAccelerators] = entry.weights;
      const weights = { groupDowntime, strandedAccelerators };
      const returnTime = entry.returnTime ?? FIGURES.returnTime;
      const chosen = chooseGroupCount(engines, 4, weights, {
        ...FIGURES,
        returnTime,
      });
      expect(chosen).to.include({ groups, spares });
    });
  }
});
