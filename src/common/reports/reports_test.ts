import { expect, use } from "chai";
import fc from "fast-check";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { AlarmName } from "../services/alarms.ts";
import type { IDaemonStatus } from "../services/daemon_status.ts";
import { PlanListName } from "../plans/types.ts";
import { BurnCounter } from "./burn_counter.ts";
import { formatBurnPage } from "./burn_page.ts";
import { buildBurnReport } from "./burn_report.ts";
import { formatBurn } from "./burn_text.ts";
import { BurnMeasure } from "./burn_types.ts";
import type { IDaemonBurn } from "./burn_types.ts";
import { formatStatus } from "./status_text.ts";

use(jestSnapshotPlugin());

const NOW = Date.UTC(2026, 2, 1, 12);
const MINUTE = 60_000;

const OBJECTIVES = {
  [BurnMeasure.WholeOnTime]: { share: 0.999, within: null },
  [BurnMeasure.FirstToken]: { share: 0.95, within: 820 },
  [BurnMeasure.BetweenTokens]: { share: 0.95, within: 58 },
};

/**
 * Counts of a daemon with one request per minute, every tenth of them late from
 * `lateFrom` minutes ago.
 */
function burnWithLateRequests(daemon: string, lateFrom: number): IDaemonBurn {
  const counter = new BurnCounter();
  const none = new BurnCounter();
  for (let minute = 600; minute >= 0; minute--) {
    const isBad = minute < lateFrom && minute % 10 === 0;
    const count = { total: 1, isBad };
    counter.record(NOW - minute * MINUTE, isBad ? 900 : 300, count);
  }
  const measures = {
    [BurnMeasure.WholeOnTime]: counter.read(NOW),
    [BurnMeasure.FirstToken]: counter.read(NOW),
    [BurnMeasure.BetweenTokens]: none.read(NOW),
  };
  const parts = [{ service: "summarizer", account: "editor-desk", measures }];
  const since = NOW - 601 * MINUTE;
  return { daemon, zone: "vn-north-a", since, objectives: OBJECTIVES, parts };
}

function statusOf(zone: string, changes: Partial<IDaemonStatus>) {
  const entry = {
    daemon: `entry-${zone}/1`,
    instance: `entry-${zone}`,
    zone,
    peerAddress: "10.0.0.1:7400",
    operationsAddress: "10.0.0.1:9100",
  };
  const answer: IDaemonStatus = {
    daemon: entry.instance,
    id: entry.daemon,
    zone,
    ready: true,
    stopping: false,
    in_flight: 3,
    lists: [
      { list: PlanListName.Customers, version: 12 },
      { list: PlanListName.Plans, version: 9 },
    ],
    lists_age_ms: 1_200,
    live_daemons: [entry.daemon],
    zones: [],
    alarms: [],
    findings: [],
    domains: [],
    groups: [],
    spares: [],
    ...changes,
  };
  return { entry, answer, failure: "" };
}

describe("reports", () => {
  const daemons = [
    burnWithLateRequests("entry-a1/1", 600),
    burnWithLateRequests("entry-a2/1", 60),
  ];

  it("tells burn as text", () => {
    const report = buildBurnReport(daemons, ["entry-b1/1"], NOW);
    expect(formatBurn(report)).toMatchSnapshot();
    expect(formatBurn(buildBurnReport([], [], NOW))).toMatchSnapshot();
  });

  it("draws burn as a page that needs nothing else", () => {
    const page = formatBurnPage(buildBurnReport(daemons, [], NOW));
    expect(page).to.match(/<path class="burn" d="M[\d.,L]+"/);
    expect(page).to.not.match(/NaN|undefined|<script|https?:/);
  });

  it("counts the same merged as in one place", () => {
    const counts = fc.array(
      fc.record({
        age: fc.integer({ min: 0, max: 1_439 }),
        isBad: fc.boolean(),
        daemon: fc.integer({ min: 0, max: 2 }),
      }),
    );
    const property = fc.property(counts, (records) => {
      const parted = [0, 1, 2].map(() => new BurnCounter());
      records.sort((left, right) => right.age - left.age);
      for (const { age, isBad, daemon } of records) {
        parted[daemon]?.record(NOW - age * MINUTE, 1, { total: 1, isBad });
      }
      const read = parted.map((counter) => counter.read(NOW));
      [5, 60, 360, 1_440].forEach((minutes, index) => {
        const within = records.filter(({ age }) => age < minutes);
        const sum = (key: "total" | "bad") =>
          read.reduce(
            (all, part) => all + (part.windows[index]?.[key] ?? 0),
            0,
          );
        expect(sum("total")).to.equal(within.length);
        expect(sum("bad")).to.equal(within.filter((r) => r.isBad).length);
      });
    });
    fc.assert(property, { seed: 4003, numRuns: 100 });
  });

  it("tells status as text", () => {
    const members = ["engine-1", "engine-2", "engine-3", "engine-4"];
    const domain = "vn-north-a-fabric";
    const group = {
      id: `${domain}/1`,
      service: "summarizer",
      model: "vi-digest-7",
      generation: 2,
      epoch: 1,
      members,
      incarnations: [],
      complete: true,
      down_ms: 0,
    };
    const report = {
      now: NOW,
      findings: ["daemons/by-hand:1:1: Invalid input"],
      daemons: [
        statusOf("vn-north-a", {
          domains: [{ domain, holder: "entry-a/1", epoch: 4, holding: true }],
          groups: [group],
        }),
        statusOf("vn-north-b", {
          lists_age_ms: 312_000,
          lists: [
            { list: PlanListName.Customers, version: 11 },
            { list: PlanListName.Plans, version: 9 },
          ],
          alarms: [
            {
              alarm: AlarmName.PlanListsUnconfirmed,
              detail: "platform GET /objects/plan_lists: ECONNREFUSED",
              since: NOW - 312_000,
            },
          ],
        }),
        {
          ...statusOf("vn-north-c", {}),
          answer: null,
          failure: "Error: connect ECONNREFUSED",
        },
      ],
    };
    expect(formatStatus(report)).toMatchSnapshot();
  });
});
