import { expect } from "chai";
import fc from "fast-check";
import { TargetState } from "../types.ts";
import type { ISeenReport } from "../types.ts";
import { DigestTable } from "./digest_table.ts";

/** A report that carries the true moment of its poll in `tokens`. */
function polled(instance: string, at: number, seenAt: number): ISeenReport {
  const report = {
    instance,
    incarnation: "first",
    state: TargetState.Free,
    membership: null,
    model: "",
    running: 0,
    queued: 0,
    tokens: at,
    lag: 0,
  };
  return { report, seenAt };
}

const step = fc.record({
  asker: fc.nat(4),
  answerer: fc.nat(4),
  polls: fc.boolean(),
  /** Until the question arrives, and until the answer does. */
  there: fc.integer({ min: 0, max: 3_000 }),
  back: fc.integer({ min: 0, max: 3_000 }),
});

describe("digests of reports", () => {
  // Reports pass through several daemons with clocks of their own, over links
  // that hold messages back. A report that looked fresher than it is would let
  // a group serve though a member has been gone for longer than the bound.
  it("never make a report look fresher than it is", () => {
    const steps = fc.array(step, { maxLength: 60 });
    const property = fc.property(steps, (schedule) => {
      const boards = [0, 1, 2, 3, 4].map((key) => new DigestTable(key));
      const local = (key: number, at: number) => at + key * 1_000_000;
      let now = 0;
      for (const { asker, answerer, polls, there, back } of schedule) {
        if (polls) {
          const seen = polled(`target-${answerer}`, now, local(answerer, now));
          boards[answerer]!.publish([seen]);
        }
        const askedAt = local(asker, now);
        const held = boards[asker]!.heldRows(askedAt);
        now += there;
        const rows = boards[answerer]!.fresherRows(held, local(answerer, now));
        now += back;
        for (const { report, seenAt } of boards[asker]!.merge(rows, askedAt)) {
          expect(seenAt).to.be.at.most(local(asker, report.tokens));
        }
      }
    });
    fc.assert(property, { seed: 6005, numRuns: 2_000 });
  });

  // Guards against old reports taken for fresh ones, once a daemon that stood
  // still shares again what it polls.
  it("are told from older ones after a daemon had none to share", () => {
    const asker = new DigestTable(0);
    const answerer = new DigestTable(1);
    const pull = (now: number) =>
      asker.merge(answerer.fresherRows(asker.heldRows(now), now), now);
    answerer.publish([polled("target", 100, 100)]);
    pull(200);
    answerer.publish([]);
    const restarted = polled("target", 5_000, 5_000);
    answerer.publish([
      { ...restarted, report: { ...restarted.report, incarnation: "second" } },
    ]);
    const [seen] = pull(5_100);
    expect(seen?.report).to.include({ incarnation: "second", tokens: 5_000 });
  });

  it("leave out what the asker holds already", () => {
    const [asker, answerer] = [new DigestTable(1), new DigestTable(2)];
    answerer.publish([polled("target", 5, 10)]);
    asker.merge(answerer.fresherRows(asker.heldRows(0), 10), 0);
    answerer.publish([polled("target", 5, 20)]);
    const [row] = answerer.fresherRows(asker.heldRows(30), 20);
    expect(row).to.deep.include({ identities: null, loads: null });
    const [seen] = asker.merge([row!], 40);
    expect(seen).to.deep.equal(polled("target", 5, 40));
  });

  it("send a load that changed without the rest of the report", () => {
    const [asker, answerer] = [new DigestTable(1), new DigestTable(2)];
    answerer.publish([polled("target", 5, 10)]);
    asker.merge(answerer.fresherRows(asker.heldRows(0), 10), 0);
    answerer.publish([polled("target", 6, 20)]);
    const [row] = answerer.fresherRows(asker.heldRows(30), 20);
    expect(row).to.deep.include({ identities: null, loads: [0, 0, 6, 0] });
    expect(asker.merge([row!], 40)[0]?.report.tokens).to.equal(6);
  });
});
