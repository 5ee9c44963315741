import { expect } from "chai";
import fc from "fast-check";
import { FairQueue, MAXIMUM_WAITING } from "./fair_queue.ts";
import { costOf } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

const SEED = 20_261;
const FREE_SLOTS = { forShort: true, forLong: true };

function makeWork(index: number, rest: Partial<IWorkItem> = {}): IWorkItem {
  return {
    id: `request-${index}`,
    account: "desk",
    priority: 5,
    promptTokens: 0,
    requestedTokens: 10,
    isCall: false,
    prefix: "",
    arrivedAt: 0,
    deadline: 1_000,
    ...rest,
  };
}

describe("fair queue", () => {
  // Guards against turns by count instead of cost: the account with the larger
  // requests would get most of the service.
  it("serves backlogged accounts equal cost, whatever the size of their requests", () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 400 }), {
      minLength: 60,
      maxLength: 60,
    });
    fc.assert(
      fc.property(sizes, sizes, (ones, others) => {
        const queue = new FairQueue();
        const given = new Map<string, number>();
        for (const [account, sizesOfAccount] of [
          ["one", ones],
          ["other", others],
        ] as const) {
          sizesOfAccount.forEach((requestedTokens, index) =>
            queue.add(makeWork(index, { account, requestedTokens })),
          );
        }
        const left = { one: ones.length, other: others.length };
        while (left.one > 0 && left.other > 0) {
          const work = queue.take(FREE_SLOTS) as IWorkItem;
          left[work.account as "one" | "other"] -= 1;
          const before = given.get(work.account) ?? 0;
          given.set(work.account, before + costOf(work));
          const one = given.get("one") ?? 0;
          const other = given.get("other") ?? 0;
          expect(Math.abs(one - other)).to.be.at.most(400);
        }
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it("takes higher priorities first, then an account's earliest deadline", () => {
    const queue = new FairQueue();
    queue.add(makeWork(1, { deadline: 900 }));
    queue.add(makeWork(2, { deadline: 300 }));
    queue.add(makeWork(3, { account: "radio", priority: 8 }));
    const order = [1, 2, 3].map(() => queue.take(FREE_SLOTS)?.id);
    expect(order).to.deep.equal(["request-3", "request-2", "request-1"]);
  });

  // Guards against a flood evicting the only request of another account.
  it("evicts from the account with the most cost waiting", () => {
    const queue = new FairQueue();
    queue.add(makeWork(-1, { account: "radio" }));
    for (let index = 1; index < MAXIMUM_WAITING; index++) {
      expect(queue.add(makeWork(index, { deadline: index }))).to.equal(null);
    }
    const evicted = queue.add(makeWork(0, { account: "clinic" }));
    expect(evicted?.id).to.equal(`request-${MAXIMUM_WAITING - 1}`);
    expect(queue.size).to.equal(MAXIMUM_WAITING);
  });

  // Guards against long work taking the slots reserved for short work.
  it("takes only short work while only short slots are free", () => {
    const queue = new FairQueue();
    queue.add(makeWork(1, { requestedTokens: 5_000, deadline: 100 }));
    queue.add(makeWork(2));
    const shortOnly = { forShort: true, forLong: false };
    expect(queue.take(shortOnly)?.id).to.equal("request-2");
    expect(queue.take(shortOnly)).to.equal(null);
  });
});
