import { expect } from "chai";
import fc from "fast-check";
import { TargetState } from "../types.ts";
import type { ITimestampedReport } from "../types.ts";
import { DigestTable } from "./digest_table.ts";

/** A report that carries the true time of its poll in `tokens`. */
function polled(
  instance: string,
  at: number,
  seenAt: number,
): ITimestampedReport {
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
  requester: fc.nat(4),
  responder: fc.nat(4),
  isPolling: fc.boolean(),
  /** Delays of the request and of the answer, milliseconds. */
  requestDelay: fc.integer({ min: 0, max: 3_000 }),
  answerDelay: fc.integer({ min: 0, max: 3_000 }),
});

describe("digests of reports", () => {
  // Guards against a group that serves although a member has been gone for
  // longer than the bound: reports pass through several daemons with clocks of
  // their own, over links that delay messages.
  it("never make a report look fresher than it is", () => {
    const steps = fc.array(step, { maxLength: 60 });
    const property = fc.property(steps, (schedule) => {
      const tables = [0, 1, 2, 3, 4].map((key) => new DigestTable(key));
      const local = (key: number, at: number) => at + key * 1_000_000;
      let now = 0;
      for (const {
        requester,
        responder,
        isPolling,
        requestDelay,
        answerDelay,
      } of schedule) {
        if (isPolling) {
          const seen = polled(
            `target-${responder}`,
            now,
            local(responder, now),
          );
          tables[responder]!.publish([seen]);
        }
        const askedAt = local(requester, now);
        const held = tables[requester]!.heldRows(askedAt);
        now += requestDelay;
        const rows = tables[responder]!.fresherRows(
          held,
          local(responder, now),
        );
        now += answerDelay;
        for (const { report, seenAt } of tables[requester]!.merge(
          rows,
          askedAt,
        )) {
          expect(seenAt).to.be.at.most(local(requester, report.tokens));
        }
      }
    });
    fc.assert(property, { seed: 6005, numRuns: 2_000 });
  });

  // Guards against old reports that are taken as fresh: a daemon that was
  // stalled publishes its polls again, and if it reused the versions of its old
  // row, the requester would keep the old reports with the new age.
  it("are distinguished from older ones that a daemon stopped publishing", () => {
    const requester = new DigestTable(0);
    const responder = new DigestTable(1);
    const pull = (now: number) =>
      requester.merge(responder.fresherRows(requester.heldRows(now), now), now);
    responder.publish([polled("target", 100, 100)]);
    pull(200);
    responder.publish([]);
    const restarted = polled("target", 5_000, 5_000);
    responder.publish([
      { ...restarted, report: { ...restarted.report, incarnation: "second" } },
    ]);
    const [seen] = pull(5_100);
    expect(seen?.report).to.include({ incarnation: "second", tokens: 5_000 });
  });

  it("omit what the requester already has", () => {
    const [requester, responder] = [new DigestTable(1), new DigestTable(2)];
    responder.publish([polled("target", 5, 10)]);
    requester.merge(responder.fresherRows(requester.heldRows(0), 10), 0);
    responder.publish([polled("target", 5, 20)]);
    const [row] = responder.fresherRows(requester.heldRows(30), 20);
    expect(row).to.deep.include({ identities: null, loads: null });
    const [seen] = requester.merge([row!], 40);
    expect(seen).to.deep.equal(polled("target", 5, 40));
  });

  it("send a load that changed without the rest of the report", () => {
    const [requester, responder] = [new DigestTable(1), new DigestTable(2)];
    responder.publish([polled("target", 5, 10)]);
    requester.merge(responder.fresherRows(requester.heldRows(0), 10), 0);
    responder.publish([polled("target", 6, 20)]);
    const [row] = responder.fresherRows(requester.heldRows(30), 20);
    expect(row).to.deep.include({ identities: null, loads: [0, 0, 6, 0] });
    expect(requester.merge([row!], 40)[0]?.report.tokens).to.equal(6);
  });
});
