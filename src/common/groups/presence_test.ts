/** Cases of reports that do and do not show a member as present. */
import { expect } from "chai";
import { InstanceState, ServiceKind, TargetState } from "../types.ts";
import type { IInstance, ITimestampedReport, ITargetReport } from "../types.ts";
import { isComplete } from "./presence.ts";

const GROUP = {
  id: "fabric/1",
  service: "summarizer",
  model: "digest",
  generation: 2,
  epoch: 1,
  members: ["engine"],
  incarnations: ["first"],
};
const MEMBERSHIP = { group: "fabric/1", generation: 2, epoch: 1, rank: 0 };
const REPORT: ITargetReport = {
  instance: "engine",
  incarnation: "first",
  state: TargetState.Ready,
  membership: MEMBERSHIP,
  model: "digest",
  running: 0,
  queued: 0,
  tokens: 0,
  lag: 0,
};
const INSTANCE: IInstance = {
  id: "engine",
  zone: "zone",
  domain: "fabric",
  address: "10.0.0.1:80",
  state: InstanceState.Live,
  kind: ServiceKind.Engine,
  service: "",
};

interface ICase {
  readonly title: string;
  readonly isPresent: boolean;
  readonly report?: Partial<ITargetReport>;
  readonly instance?: Partial<IInstance>;
  readonly age?: number;
  readonly watchedFor?: number;
}

const CASES: readonly ICase[] = [
  { title: "a fresh report of this generation", isPresent: true },
  { title: "an old report", isPresent: false, age: 501 },
  // Guards against taking this daemon's pause for the silence of all members.
  {
    title: "an old report just after a pause",
    isPresent: true,
    age: 3_000,
    watchedFor: 100,
  },
  {
    title: "an old report long after a pause",
    isPresent: false,
    age: 3_000,
    watchedFor: 501,
  },
  {
    title: "an earlier generation",
    isPresent: false,
    report: { membership: { ...MEMBERSHIP, generation: 1 } },
  },
  {
    title: "another group",
    isPresent: false,
    report: { membership: { ...MEMBERSHIP, group: "fabric/2" } },
  },
  { title: "no group", isPresent: false, report: { membership: null } },
  {
    title: "weights still loading",
    isPresent: false,
    report: { state: TargetState.Loading },
  },
  {
    title: "a member that is leaving",
    isPresent: false,
    report: { state: TargetState.Leaving },
  },
  {
    title: "a process started since then",
    isPresent: false,
    report: { incarnation: "second" },
  },
  {
    title: "an instance listed as leaving",
    isPresent: false,
    instance: { state: InstanceState.Leaving },
  },
];

describe("a member's presence", () => {
  for (const { title, isPresent, ...change } of CASES) {
    it(`${isPresent ? "is" : "is not"} shown by ${title}`, () => {
      const report = { ...REPORT, ...change.report };
      const seen: ITimestampedReport = {
        report,
        seenAt: 1_000 - (change.age ?? 0),
      };
      const instance = { ...INSTANCE, ...change.instance };
      const view = {
        instances: new Map([["engine", instance]]),
        reports: new Map([["engine", seen]]),
        now: 1_000,
        freshness: 500,
        watchedSince: 1_000 - (change.watchedFor ?? 1_000),
      };
      expect(isComplete(GROUP, view)).to.equal(isPresent);
    });
  }
});
