import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import {
  RecordingLog,
  RecordingMetrics,
} from "../../../test/support/recording_services.ts";
import { AnswerBreak, AnswerBreakRecorder } from "./answer_breaks.ts";

describe("AnswerBreakRecorder", () => {
  // Guards against answers that are broken off without a trace, and against a
  // target that fills the log with them.
  it("counts each answer, and logs each source once a second", () => {
    const clock = new ManualClock();
    const log = new RecordingLog();
    const metrics = new RecordingMetrics();
    const recorder = new AnswerBreakRecorder({ clock, log, metrics });
    const answer = {
      end: AnswerBreak.Reset,
      source: "10.0.0.1:80",
      hasLength: false,
      sent: 100,
      unsent: 20,
    };
    for (let count = 0; count < 30; count += 1) {
      recorder.record(answer);
      clock.advance(50);
    }
    recorder.record({ ...answer, source: "10.0.0.2:80" });
    const line = { end: "reset", has_length: false, sent: 100, unsent: 20 };
    expect(log.fieldsOf("answer_broken_off")).to.deep.equal([
      { ...line, source: "10.0.0.1:80", count: 1 },
      { ...line, source: "10.0.0.1:80", count: 20 },
      { ...line, source: "10.0.0.2:80", count: 1 },
    ]);
    expect(metrics.counted).to.have.length(31);
    expect(metrics.counted[0]).to.equal('answers_broken_off {"end":"reset"}');
  });
});
