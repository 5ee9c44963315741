import { expect } from "chai";
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { KeptLog } from "../../../test/support/quiet_services.ts";
import type { IStoreUpdate } from "../relay/types.ts";
import type { ICallFailure } from "../types.ts";
import type {
  ExchangeAnswer,
  IHolderReply,
  IProcessReport,
} from "./exchange.ts";
import { ExchangeClient } from "./exchange_client.ts";

/** The word of a holder that was built before it told of the store. */
const OLD_WORD: IHolderReply = {
  tableVersion: 1,
  groups: [],
  othersInFlight: {},
  isInDoubt: false,
  processes: 2,
};
const KIND = { version: 5, changedVersion: 5, age: 10 };

function processWord(tableVersion: number): IProcessReport {
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

/** Listens to a holder that always says the same; returns what it told. */
async function heardOf(word: IHolderReply): Promise<{
  readonly store: readonly IStoreUpdate[];
  readonly isHolderSound: boolean;
}> {
  const clock = new ManualClock();
  const store: IStoreUpdate[] = [];
  const answer: Result<ExchangeAnswer, ICallFailure> = Ok({
    isHolder: true,
    word,
  });
  const listener = new ExchangeClient({
    link: { exchange: () => Promise.resolve(answer) },
    clock,
    log: new KeptLog(),
    holderAddress: () => "holder:1",
    report: processWord,
    onReply: () => undefined,
    onStoreUpdate: (heard) => store.push(heard),
    onOtherProcess: () => undefined,
  });
  listener.start();
  for (let turn = 0; turn < 20; turn += 1) {
    clock.advance(50);
    await Promise.resolve();
  }
  listener.dispose();
  return { store, isHolderSound: listener.isHolderHealthy };
}

describe("hearing from the lease holder", () => {
  it("passes on what the holder says of the store", async () => {
    const told = { configuration: KIND, targets: KIND, targetChanges: null };
    const { store } = await heardOf({ ...OLD_WORD, store: told });
    expect(store[0]).to.deep.equal(told);
  });

  // Processes are replaced by a new build one after the other, and the old
  // holder says nothing of the store. A process that fell over that would end,
  // start again and end again until the holder was replaced.
  it("understands a holder of an older build", async () => {
    const { store, isHolderSound } = await heardOf(OLD_WORD);
    expect(store).to.deep.equal([]);
    expect(isHolderSound).to.equal(true);
  });
});
