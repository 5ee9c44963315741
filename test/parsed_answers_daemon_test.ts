/** Answers to a daemon that are complete, and cost far more than their bytes. */
import { expect } from "chai";
import {
  CALLS,
  expectServed,
  FaultyDeployment,
  Operation,
} from "./support/faulty_deployment.ts";
import type { FaultyAnswer } from "./support/faulty_target.ts";
import { waitFor } from "./support/process_handle.ts";

/** Bytes, just below those of the longest answer. */
const LONG = 8_000_000;

/** Status of a call that may have run. */
const TARGET_LOST = 502;

const ENGINE_PATHS = { faulty: Operation.Text, sound: Operation.Repeatable };

/** Polls of the targets within which a report is read. */
const REPORTS = 40;

/** Values that take far more memory, or stack, than their text. */
const VALUES: Readonly<Record<string, string>> = {
  lists: `[[]${",[]".repeat(LONG / 3)}]`,
  "lists within each other": `${"[".repeat(LONG / 2)}${"]".repeat(LONG / 2)}`,
};

/** Answers a call to a plain service with values. */
function answerOf(values: string): FaultyAnswer {
  return (response, body) => {
    const { requestId } = JSON.parse(body) as { readonly requestId: string };
    const id = JSON.stringify(requestId);
    response.end(`{"requestId":${id},"answer":${values}}`);
  };
}

/** Answers with a stream whose events never end. */
function streamOf(eventAt: (call: object, index: number) => string) {
  return ((response, body) => {
    const call = JSON.parse(body) as object;
    response.writeHead(200, { "content-type": "text/event-stream" });
    let index = 0;
    const fill = () => {
      let isOpen = !response.destroyed;
      while (isOpen) {
        isOpen = response.write(eventAt(call, index));
        index += 1;
      }
    };
    response.on("drain", fill);
    fill();
  }) satisfies FaultyAnswer;
}

function tokenOf(call: object, sequence: number, text: string): string {
  const data = JSON.stringify({ ...call, prompt: "", sequence, text });
  return `data: ${data}\n\n`;
}

describe("answers that cost more than their bytes, before a daemon", () => {
  // Guards against a daemon whose heap, or stack, the values of an answer fill.
  for (const [name, values] of Object.entries(VALUES)) {
    it(`of a plain service leave others served: ${name}`, async () => {
      await using faulty = await FaultyDeployment.start();
      faulty.service.faults.set("/call", answerOf(values));
      const paths = { faulty: Operation.Repeatable, sound: Operation.Stream };
      const outcome = await faulty.play(paths);
      expectServed(outcome);
      expect(outcome.statuses, outcome.statuses.join()).to.not.include(200);
      expect(outcome.statuses).to.include(TARGET_LOST);
      const lines = faulty.linesOf("answer_cut");
      expect(lines.join("\n")).to.include("bound=values source=127.0.0.1:");
      faulty.service.faults.clear();
      expect(await faulty.statusOf(Operation.Repeatable)).to.equal(200);
    });
  }

  // Guards against tokens without end, which a buffered answer collects.
  it("of engines leave others served: tokens without end", async () => {
    await using faulty = await FaultyDeployment.start();
    const text = "x".repeat(100);
    const fault = streamOf((call, index) => tokenOf(call, index, text));
    faulty.failEngines("/generate", fault);
    const outcome = await faulty.play(ENGINE_PATHS);
    expectServed(outcome);
    const failed = outcome.statuses.filter((status) => status === TARGET_LOST);
    expect(failed, outcome.statuses.join()).to.have.length(CALLS);
    const lines = faulty.linesOf("answer_cut").join("\n");
    expect(lines).to.include("bound=length source=127.0.0.1:");
  });

  // Guards against reports that end the daemon: each of its polls would fail
  // outside any call.
  for (const report of [
    "null",
    "7",
    "[]",
    '{"instance":"INSTANCE"}',
    '{"instance":"INSTANCE","state":7,"membership":7,"running":"x"}',
  ]) {
    it(`in reports leave others served: ${report}`, async () => {
      await using faulty = await FaultyDeployment.start();
      faulty.engines.forEach(({ faults }, index) => {
        const instance = `engine-vn-north-a-${index}`;
        const text = report.replace("INSTANCE", instance);
        faults.set("/report", (response) => response.end(text));
      });
      const isPolled = () =>
        faulty.daemon.hasExited ||
        faulty.engines.every(({ faultyRequests }) => faultyRequests >= REPORTS);
      await waitFor("the reports are read", isPolled);
      expect(faulty.daemon.hasExited, "the daemon has ended").to.equal(false);
      expect(await faulty.statusOf(Operation.Repeatable)).to.equal(200);
      faulty.engines.forEach(({ faults }) => faults.clear());
      await waitFor("the engines serve again", async () => {
        return (await faulty.statusOf(Operation.Stream)) === 200;
      });
    });
  }
});
