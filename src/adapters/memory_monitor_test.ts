import { expect } from "chai";
import { ManualClock } from "../../test/support/manual_clock.ts";
import { RecordingLog } from "../../test/support/recording_services.ts";
import type { LogFields } from "../common/services/services.ts";
import { MemoryMonitor } from "./memory_monitor.ts";

const KEPT = { answers: 10, answerPieces: 5, requests: 20 };

/** Megabytes that every process exceeds, and that none of the tests does. */
const LITTLE = 1;
const MUCH = 1_000_000;

function linesOf(memory: number, time: number): readonly LogFields[] {
  const clock = new ManualClock();
  const log = new RecordingLog();
  const monitor = new MemoryMonitor({ clock, log, memory, kept: () => KEPT });
  monitor.start();
  clock.advance(time);
  monitor.dispose();
  clock.advance(time);
  return log.fieldsOf("memory_high");
}

// Guards against processes that run out of memory without a line on what they
// keep.
describe("MemoryMonitor", () => {
  it("says what a process near its memory keeps, once a second", () => {
    const lines = linesOf(LITTLE, 2_900);
    expect(lines).to.have.length(3);
    expect(lines[0]).to.include({ answer_pieces: 5, limit_mb: LITTLE });
  });

  it("says nothing of a process with room", () => {
    expect(linesOf(MUCH, 2_900)).to.deep.equal([]);
  });
});
