/** Targets whose answers go on in pieces of a byte, before a daemon. */
import { expect } from "chai";
import { ENDLESS_PIECES } from "./support/endless_pieces.ts";
import {
  CALLS,
  expectServed,
  FaultyDeployment,
  Operation,
} from "./support/faulty_deployment.ts";
import { piecesOf } from "./support/faulty_target.ts";

/** Statuses of calls that a target did not answer. */
const FAILURES = [502, 503, 504];

/** Floods, and the bounds of which one ends them. */
const BOUNDS: Readonly<Record<string, readonly string[]>> = {
  "chunks with extensions": ["framing"],
  fields: ["framing", "fields", "memory"],
  "provisional heads": ["framing"],
  trailers: ["framing"],
};

function expectFailures(statuses: readonly number[]): void {
  const failures = statuses.filter((status) => FAILURES.includes(status));
  expect(failures, statuses.join()).to.have.length(CALLS);
}

/** Expects lines that name a bound and who answered. */
function expectCut(faulty: FaultyDeployment, bounds: readonly string[]): void {
  const lines = faulty.linesOf("answer_cut");
  for (const line of lines) {
    expect(line).to.match(/source=(http:\/\/)?127\.0\.0\.1:\d+/);
  }
  const isNamed = bounds.some((bound) =>
    lines.some((line) => line.includes(`bound=${bound} `)),
  );
  expect(isNamed, lines.join("\n")).to.equal(true);
}

// Guards against a daemon that ends, or stands still, since each piece of what
// a target writes costs far more memory and work than its bytes.
describe("answers in pieces without end, before a daemon", () => {
  for (const [name, bounds] of Object.entries(BOUNDS)) {
    it(`of a plain service leave others served: ${name}`, async () => {
      await using faulty = await FaultyDeployment.start();
      const pieces = ENDLESS_PIECES[name as keyof typeof ENDLESS_PIECES];
      faulty.service.faults.set("/call", piecesOf(pieces));
      const paths = { faulty: Operation.Repeatable, sound: Operation.Stream };
      const outcome = await faulty.play(paths);
      expectServed(outcome);
      expectFailures(outcome.statuses);
      expectCut(faulty, bounds);
    });
  }
});
