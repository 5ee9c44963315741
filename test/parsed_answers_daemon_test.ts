/** Answers to a daemon that are complete, and cost far more than their bytes. */
import { expect } from "chai";
import {
  expectServed,
  FaultyDeployment,
  Operation,
} from "./support/faulty_deployment.ts";
import type { FaultyAnswer } from "./support/faulty_target.ts";

/** Bytes, just below those of the longest answer. */
const LONG = 8_000_000;

/** Status of a call that may have run. */
const TARGET_LOST = 502;

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
});
