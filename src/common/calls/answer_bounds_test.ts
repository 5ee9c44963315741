import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import {
  RecordingLog,
  RecordingMetrics,
} from "../../../test/support/recording_services.ts";
import { AnswerBound, AnswerBoundRecorder } from "./answer_bounds.ts";

describe("AnswerBoundRecorder", () => {
  // Guards against a target whose answers without end fill the log as well.
  it("counts each bound, and logs each source once a second", () => {
    const clock = new ManualClock();
    const log = new RecordingLog();
    const metrics = new RecordingMetrics();
    const recorder = new AnswerBoundRecorder({ clock, log, metrics });
    for (let answer = 0; answer < 30; answer += 1) {
      recorder.record(AnswerBound.Framing, "10.0.0.1:80");
      clock.advance(50);
    }
    recorder.record(AnswerBound.Framing, "10.0.0.2:80");
    expect(log.fieldsOf("answer_cut")).to.deep.equal([
      { bound: "framing", source: "10.0.0.1:80", count: 1 },
      { bound: "framing", source: "10.0.0.1:80", count: 20 },
      { bound: "framing", source: "10.0.0.2:80", count: 1 },
    ]);
    expect(metrics.counted).to.have.length(31);
    expect(metrics.counted[0]).to.equal('answers_cut {"bound":"framing"}');
  });
});
