import { expect } from "chai";
import { RequestMemory } from "./request_memory.ts";
import type { RequestShare } from "./request_memory.ts";

/** Megabytes of a process. */
const MEMORY = 350;

/** Bytes of a long body, and of an ordinary request. */
const LONG = 4_194_304;
const SMALL = 10_000;

/** Shares of incomplete requests, and which of them were evicted. */
function createShares(memory: RequestMemory, count: number, bytes: number) {
  const evicted: number[] = [];
  const shares = Array.from({ length: count }, (_, index) => {
    const share = memory.createShare(() => evicted.push(index));
    share.resize(bytes);
    return share;
  });
  return { shares, evicted };
}

function take(memory: RequestMemory, bytes: number): RequestShare | null {
  const share = memory.createShare(() => undefined);
  return share.resize(bytes) ? share : null;
}

describe("RequestMemory", () => {
  // Guards against bodies that are each within the limit, and whose sum is not.
  it("bounds the sum of incomplete requests, and evicts the oldest", () => {
    const memory = new RequestMemory(MEMORY);
    const { evicted } = createShares(memory, 100, LONG);
    expect(memory.used).to.be.at.most(MEMORY * 1_048_576 * 0.14);
    expect(evicted[0]).to.equal(0);
    expect(evicted.length).to.be.greaterThan(80);
  });

  // Guards against a crowd with long bodies that keeps ordinary callers out.
  it("makes room for a small request, and keeps other small ones", () => {
    const memory = new RequestMemory(MEMORY);
    const small = createShares(memory, 10, SMALL);
    const long = createShares(memory, 100, LONG);
    const newest = createShares(memory, 2_000, SMALL);
    expect(small.evicted).to.deep.equal([]);
    expect(newest.evicted).to.deep.equal([]);
    expect(long.evicted.length).to.be.greaterThan(80);
  });

  // Guards against calls that are ended after a target may have run them.
  it("keeps complete requests, and refuses long ones instead", () => {
    const memory = new RequestMemory(MEMORY);
    const { shares, evicted } = createShares(memory, 9, LONG);
    shares.forEach((one) => one.complete());
    expect(take(memory, LONG)).to.equal(null);
    expect(take(memory, SMALL)).not.to.equal(null);
    expect(evicted).to.deep.equal([]);
  });

  it("is free again once requests are answered or evicted", () => {
    const memory = new RequestMemory(MEMORY);
    const { shares } = createShares(memory, 100, LONG);
    shares.forEach((one) => one.dispose());
    expect(memory.used).to.equal(0);
    expect(shares[0]?.resize(1)).to.equal(false);
  });
});
