import { expect } from "chai";
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IStoreUpdate } from "../relay/types.ts";
import type { ICallFailure } from "../types.ts";
import type {
  ExchangeAnswer,
  IHolderReply,
  IProcessReport,
} from "./exchange.ts";
import { ExchangeClient } from "./exchange_client.ts";

/** A reply from a holder built before replies included the store. */
const OLD_REPLY: IHolderReply = {
  tableVersion: 1,
  groups: [],
  othersInFlight: {},
  isInDoubt: false,
  processes: 2,
};
const KIND = { version: 5, changedVersion: 5, age: 10 };

function processReport(tableVersion: number): IProcessReport {
  return {
    process: "here",
    hasCalls: false,
    inFlight: {},
    work: [],
    tableVersion,
    suspects: [],
    versions: { configuration: 0, targets: 0 },
  };
}

/**
 * Exchanges with a holder that always sends the same reply; returns the store
 * updates received.
 */
async function receiveFrom(reply: IHolderReply): Promise<{
  readonly store: readonly IStoreUpdate[];
  readonly isHolderHealthy: boolean;
}> {
  const clock = new ManualClock();
  const store: IStoreUpdate[] = [];
  const answer: Result<ExchangeAnswer, ICallFailure> = Ok({
    isHolder: true,
    word: reply,
  });
  const client = new ExchangeClient({
    link: { exchange: () => Promise.resolve(answer) },
    clock,
    log: new RecordingLog(),
    holderAddress: () => "holder:1",
    report: processReport,
    onReply: () => undefined,
    onRateLimits: () => undefined,
    onPeers: () => undefined,
    onQuarantine: () => undefined,
    onStoreUpdate: (update) => store.push(update),
    onOtherProcess: () => undefined,
  });
  client.start();
  for (let turn = 0; turn < 20; turn += 1) {
    clock.advance(50);
    await Promise.resolve();
  }
  client.dispose();
  return { store, isHolderHealthy: client.isHolderHealthy };
}

/** Receives replies in turn; returns the groups and the last reported version. */
async function receiveTables(
  replies: readonly IHolderReply[],
): Promise<{ readonly groups: readonly string[]; readonly version: number }> {
  const clock = new ManualClock();
  let count = 0;
  let version = 0;
  const client = new ExchangeClient({
    link: {
      exchange: (_, report) => {
        version = report.tableVersion;
        const word = replies[Math.min(count, replies.length - 1)] ?? OLD_REPLY;
        count += 1;
        return Promise.resolve(Ok({ isHolder: true, word }));
      },
    },
    clock,
    log: new RecordingLog(),
    holderAddress: () => "holder:1",
    report: processReport,
    onReply: () => undefined,
    onRateLimits: () => undefined,
    onPeers: () => undefined,
    onQuarantine: () => undefined,
    onStoreUpdate: () => undefined,
    onOtherProcess: () => undefined,
  });
  client.start();
  while (count <= replies.length) {
    clock.advance(50);
    await Promise.resolve();
  }
  client.dispose();
  return { groups: client.groups.map(({ group }) => group), version };
}

function servingGroup(group: string): IServingGroup {
  return {
    group,
    service: "summaries",
    model: "large",
    head: { id: group, address: "10.0.0.1:8000" },
    zone: "north-a",
    slots: 20,
    takesWork: true,
    pace: 1,
    isZoneOnly: false,
  };
}

describe("ExchangeClient", () => {
  // Guards against calls sent to a group that is gone, or kept from one that
  // is open, when the holder sends changes instead of the whole table.
  it("applies the changes of a table", async () => {
    const first = { ...OLD_REPLY, groups: ["a", "b"].map(servingGroup) };
    const next: IHolderReply = {
      ...OLD_REPLY,
      tableVersion: 2,
      groups: null,
      tableChanges: { since: 1, changed: [servingGroup("c")], removed: ["a"] },
    };
    const unchanged = { ...next, tableChanges: null };
    const received = await receiveTables([first, next, unchanged]);
    expect(received).to.deep.equal({ groups: ["b", "c"], version: 2 });
  });

  // Guards against a table made of two: the changes are to another one than
  // that which the process has.
  it("asks for all groups when changes do not fit its table", async () => {
    const first = { ...OLD_REPLY, groups: ["a", "b"].map(servingGroup) };
    const next: IHolderReply = {
      ...OLD_REPLY,
      tableVersion: 3,
      groups: null,
      tableChanges: { since: 2, changed: [servingGroup("c")], removed: ["a"] },
    };
    const received = await receiveTables([first, next]);
    expect(received).to.deep.equal({ groups: ["a", "b"], version: 0 });
  });

  // Guards against a holder whose link is full of tables that nobody uses: when
  // its groups stall, all processes report each of them at once.
  it("reports a stalled group without asking for the table", async () => {
    const clock = new ManualClock();
    const reported: number[] = [];
    const client = new ExchangeClient({
      link: {
        exchange: (_, { tableVersion }) => {
          reported.push(tableVersion);
          return Promise.resolve(Ok({ isHolder: true, word: OLD_REPLY }));
        },
      },
      clock,
      log: new RecordingLog(),
      holderAddress: () => "holder:1",
      report: processReport,
      onReply: () => undefined,
      onRateLimits: () => undefined,
      onPeers: () => undefined,
      onQuarantine: () => undefined,
      onStoreUpdate: () => undefined,
      onOtherProcess: () => undefined,
    });
    client.start();
    await Promise.resolve();
    await Promise.resolve();
    client.reportNow();
    client.dispose();
    expect(reported).to.deep.equal([0, OLD_REPLY.tableVersion]);
  });

  it("passes on the holder's store updates", async () => {
    const update = { configuration: KIND, targets: KIND, targetChanges: null };
    const { store } = await receiveFrom({ ...OLD_REPLY, store: update });
    expect(store[0]).to.deep.equal(update);
  });

  // Guards against a crash loop during a rolling update: until the holder is
  // replaced as well, its older build sends no store updates.
  it("accepts replies from a holder of an older build", async () => {
    const { store, isHolderHealthy } = await receiveFrom(OLD_REPLY);
    expect(store).to.deep.equal([]);
    expect(isHolderHealthy).to.equal(true);
  });
});
