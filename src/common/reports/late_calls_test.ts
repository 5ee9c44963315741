import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import {
  formatLateCalls,
  LateCause,
  summarizeLateCalls,
} from "./late_calls.ts";
import type { ILogLine } from "./request_timeline.ts";

use(jestSnapshotPlugin());

const ON_TIME = {
  event: "model_call",
  model: "large",
  outcome: "whole",
  objective_ms: "400",
  pause_limit_ms: "250",
  waited_ms: "0",
  first_event_ms: "180",
  longest_pause_ms: "60",
  sends: "1",
};

function line(
  at: number,
  request: string,
  part: Readonly<Record<string, string>>,
): ILogLine {
  return { at, fields: { ...ON_TIME, request, ...part } };
}

const LINES: readonly ILogLine[] = [
  line(10_000, "a", {}),
  line(11_000, "b", { first_event_ms: "520", waited_ms: "300" }),
  line(11_400, "c", { first_event_ms: "450", waited_ms: "130" }),
  line(12_000, "d", { first_event_ms: "700" }),
  line(13_000, "e", { first_event_ms: "600", sends: "2" }),
  line(14_000, "f", { longest_pause_ms: "300", sends: "2" }),
  line(15_000, "g", { longest_pause_ms: "260" }),
  line(16_000, "h", { outcome: "caller_left" }),
  line(17_000, "i", { outcome: "not_run", reason: "hopeless" }),
  line(17_500, "j", { model: "small" }),
  { at: 18_000, fields: { event: "group", model: "large" } },
];

describe("late calls by cause", () => {
  // A summary without causes would not tell operators whether to add instances
  // or to look for a broken link.
  it("tells why, how many and when", () => {
    expect(formatLateCalls(summarizeLateCalls(LINES))).toMatchSnapshot();
  });

  it("counts each late call once, and none that was on time", () => {
    const rows = summarizeLateCalls(LINES);
    const late = rows.reduce((sum, { calls }) => sum + calls, 0);
    expect(late).to.equal(8);
    expect(rows[0]).to.include({ cause: LateCause.Waited, calls: 2 });
    expect(rows[0]?.worst).to.deep.equal({ second: 1, calls: 2 });
    expect(rows.map(({ model }) => model)).to.not.include("small");
  });

  it("does not call late what names no objective", () => {
    const late = { objective_ms: "", first_event_ms: "900" };
    expect(summarizeLateCalls([line(1_000, "a", late)])).to.deep.equal([]);
  });

  it("is empty without any call", () => {
    expect(summarizeLateCalls([])).to.deep.equal([]);
  });
});
