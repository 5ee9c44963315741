import { expect } from "chai";
import { Err, Ok } from "ts-results-es";
import { CallFailureKind, TargetState } from "../types.ts";
import type { ITargetReport, ITimestampedReport } from "../types.ts";
import { EngineStarts } from "./engine_starts.ts";

const ENGINE = { id: "engine-1", address: "10.0.0.1:80" };

function reportOf(incarnation: string): ITargetReport {
  return {
    instance: ENGINE.id,
    incarnation,
    state: TargetState.Ready,
    membership: null,
    model: "",
    running: 0,
    queued: 0,
    tokens: 0,
    lag: 0,
  };
}

describe("the starts of engines", () => {
  // Guards against an engine taken for sound since it is back under its id.
  it("rise with each incarnation", async () => {
    const seen = { report: reportOf("first"), seenAt: 0 };
    const reports = new Map<string, ITimestampedReport>([[ENGINE.id, seen]]);
    let incarnation = "first";
    const starts = new EngineStarts(
      { report: async () => Ok(reportOf(incarnation)) },
      { reports },
    );
    expect(starts.startOf(ENGINE.id)).to.equal(1);
    const same = await starts.fetchReport(ENGINE, 400);
    expect(same.unwrap()).to.deep.equal({ startedAt: 1 });
    incarnation = "second";
    const next = await starts.fetchReport(ENGINE, 400);
    expect(next.unwrap()).to.deep.equal({ startedAt: 2 });
  });

  it("are not known of an engine that does not answer", async () => {
    const failure = { kind: CallFailureKind.Unknown, detail: "no answer" };
    const starts = new EngineStarts(
      { report: async () => Err(failure) },
      { reports: new Map() },
    );
    expect(starts.startOf(ENGINE.id)).to.equal(null);
    const report = await starts.fetchReport(ENGINE, 400);
    expect(report.isErr()).to.equal(true);
  });
});
