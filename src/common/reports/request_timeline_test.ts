import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { parseLogLines } from "../../adapters/log/log_lines.ts";
import { buildTimeline, formatTimeline } from "./request_timeline.ts";

use(jestSnapshotPlugin());

/** Lines of two processes, out of order, as an engineer would collect them. */
const LOG = `
time=2026-07-16T03:20:41.100Z severity=info event=send_silent process=b-1 request=ab12 group=group-5 silent_ms=198 last_event=21
time=2026-07-16T03:20:42.900Z severity=warn event=model_call process=b-1 request=ab12 route=briefs outcome=target_failed reason=target_lost sends=2 group=""
time=2026-07-16T03:20:42.100Z severity=info event=send_failed process=b-1 request=ab12 group=group-7 end=broken detail="read ECONNRESET"
time=2026-07-16T03:20:41.300Z severity=info event=group process=a-1 group=group-5 from=serving to=dissolving trouble=member_silent
time=2026-07-16T03:20:30.000Z severity=info event=group process=a-1 group=group-5 from=opening to=serving trouble=
time=2026-07-16T03:20:41.200Z severity=info event=model_call process=b-1 request=cd34 group=group-5 outcome=whole
 41.3 a-1 time=2026-07-16T03:20:41.050Z severity=warn event=group_suspected process=b-1 group=group-5
not a line of a log
`;

describe("the story of a request", () => {
  it("tells in order what decided it, and how its groups fared", () => {
    const { lines, skipped } = parseLogLines(LOG);
    expect(skipped).to.equal(1);
    const text = formatTimeline(buildTimeline(lines, "ab12"));
    expect(text).toMatchSnapshot();
    expect(text).to.not.include("cd34");
    expect(text.trim().split("\n")).to.have.length(5);
  });

  it("is empty for a request that no line names", () => {
    const { lines } = parseLogLines(LOG);
    expect(buildTimeline(lines, "ef56")).to.deep.equal([]);
  });
});
