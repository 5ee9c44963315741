import { expect } from "chai";
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
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

describe("ExchangeClient", () => {
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
