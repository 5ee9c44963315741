import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import {
  NO_METRICS,
  RecordingLog,
} from "../../../test/support/recording_services.ts";
import { LimitRecorder, ProcessLimit } from "./limit_recorder.ts";

describe("LimitRecorder", () => {
  // Guards against a log that a crowd of clients fills.
  it("logs each limit once a second, with the number of times", () => {
    const clock = new ManualClock();
    const log = new RecordingLog();
    const recorder = new LimitRecorder({ clock, log, metrics: NO_METRICS });
    for (let time = 0; time < 2_000; time += 1) {
      recorder.record(ProcessLimit.Connections);
      clock.advance(1);
    }
    recorder.record(ProcessLimit.OpenCalls);
    recorder.record(ProcessLimit.Connections);
    const lines = log.lines.filter(({ event }) => event === "limit_reached");
    expect(lines.map(({ fields }) => fields)).to.deep.equal([
      { limit: "connections", count: 1 },
      { limit: "connections", count: 1_000 },
      { limit: "open_calls", count: 1 },
      { limit: "connections", count: 1_000 },
    ]);
  });
});
