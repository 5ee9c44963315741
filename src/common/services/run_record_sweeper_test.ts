import { expect } from "chai";
import { Ok } from "ts-results-es";
import { bucketKind, runRecordLocation } from "../runs/run_record_location.ts";
import { createOpenRecord } from "../runs/run_record.ts";
import { RunRecordSweeper } from "./run_record_sweeper.ts";
import type { IPlatform } from "./services.ts";

/** Milliseconds. */
const HOUR = 3_600_000;
const NOW = 1_000 * HOUR;

const NO_LOG = { info: () => {}, warn: () => {}, error: () => {} };

function recordCreatedAt(createdAt: number, key: string) {
  const run = { account: "desk", operation: "delivery-api/publish", key };
  const details = { bodyDigest: "d", attempt: "a", requestId: "r" };
  return createOpenRecord(run, { ...details, createdAt, openUntil: createdAt });
}

describe("RunRecordSweeper", () => {
  async function sweep(values: readonly unknown[]): Promise<string[]> {
    const removed: string[] = [];
    const objects = values.map((value, index) => {
      return { kind: bucketKind(7), name: `${index}`, version: index, value };
    });
    const platform = {
      list: () => Promise.resolve(Ok({ version: 1, objects })),
      remove: (_: string, name: string) => {
        removed.push(name);
        return Promise.resolve(Ok(undefined));
      },
    };
    const sweeper = new RunRecordSweeper({
      platform: platform as unknown as IPlatform,
      clock: {
        now: () => 0,
        calendar: () => NOW,
        after: () => ({ dispose: () => {} }),
        every: () => ({ dispose: () => {} }),
      },
      random: { next: () => 0, identifier: () => "" },
      log: NO_LOG,
      isChosen: () => true,
    });
    expect(await sweeper.sweep(7)).to.equal(removed.length);
    return removed;
  }

  // Guards against removing a record too early: a caller's retry would then
  // run the call a second time.
  it("keeps records within retention and unreadable ones", async () => {
    const young = recordCreatedAt(NOW - 47 * HOUR, "young");
    const old = recordCreatedAt(NOW - 49 * HOUR, "old");
    expect(await sweep([young, old, { edited: "by hand" }])).to.eql(["1"]);
  });

  // Guards against a sweep of unbounded length.
  it("removes at most a hundred records in one sweep", async () => {
    const old = recordCreatedAt(0, "old");
    expect(await sweep(Array(150).fill(old))).to.have.length(100);
  });

  // Guards against listing more than a small part of all records at once.
  it("distributes keys over many kinds", () => {
    const kinds = new Set<string>();
    for (let index = 0; index < 1_000; index++) {
      kinds.add(runRecordLocation(recordCreatedAt(0, `item-${index}`)).kind);
    }
    expect(kinds.size).to.be.greaterThan(500);
  });
});
