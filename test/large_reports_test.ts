/** Engines whose reports are within their length, and large once parsed. */
import { expect } from "chai";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";

/** Megabytes that the platform gives an entry process, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** Engines, and bytes of their reports: nearly what is read of one. */
const ENGINES = 40;
const REPORT_LENGTH = 65_000;

/** Lines on the reports of some seconds, while others are called. */
const LINES = 3;

const FIELDS = '"seqNo":1,"queued":0,"active":0';

const REPORTS = {
  "models without a name": `{${FIELDS},"models":${filled("{},")}}`,
  "staged models": `{${FIELDS},"models":[],"staged":${filled('"a",')}}`,
  "long names": `{${FIELDS},"staged":["${"a".repeat(REPORT_LENGTH - 80)}"]}`,
  nested: "[".repeat(REPORT_LENGTH / 2) + "]".repeat(REPORT_LENGTH / 2),
};

function filled(element: string): string {
  const count = Math.floor((REPORT_LENGTH - 80) / element.length);
  return `[${element.repeat(count).slice(0, -1)}]`;
}

// Guards against a process that stands still, or ends, since the values of
// reports take far more memory and work than their bytes.
describe("reports of many values", () => {
  for (const [name, report] of Object.entries(REPORTS)) {
    it(`leave callers served: ${name}`, async () => {
      await using fleet = new EntryFleet(ENGINES);
      fleet.limits = { memory: MEMORY, heap: HEAP };
      fleet.hasLinks = false;
      await fleet.start(1);
      const beginning = `HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`;
      const answer = { beginning, repeated: "" };
      fleet.engines.forEach(
        (one) => (one.pieces = { path: "/report", answer }),
      );
      const handle = fleet.processes[0]?.handle;
      if (handle === undefined) {
        throw new Error("no process was started");
      }
      using sampler = new MemorySampler(handle, MEMORY);
      const linesOf = (output: string) =>
        output.split("event=engine_reports").length;
      const before = linesOf(handle.output);
      const statuses: number[] = [];
      const isPlayed = () => linesOf(handle.output) >= before + LINES;
      while (!isPlayed() && !handle.hasExited) {
        const answered = await fleet.sendCall(0, Path.Safe).catch(() => null);
        statuses.push(answered?.status ?? 0);
      }
      expect(handle.hasExited, "the process has ended").to.equal(false);
      expect(sampler.peak).to.be.at.most(MEMORY);
      const refused = statuses.filter((status) => status !== 200);
      expect(refused, statuses.join()).to.deep.equal([]);
    });
  }
});
