import { expect } from "chai";
import { AnswerBuffer, AnswerMemory, LONGEST_ANSWER } from "./answer_memory.ts";

const CHUNK = new Uint8Array(65_536);

function fill(buffer: AnswerBuffer): number {
  while (buffer.push(CHUNK)) {
    // Until it is too long.
  }
  return buffer.length;
}

describe("AnswerMemory", () => {
  // Guards against one answer without end that uses up the memory.
  it("bounds one answer", () => {
    const buffer = new AnswerBuffer(new AnswerMemory());
    expect(fill(buffer)).to.equal(LONGEST_ANSWER);
  });

  // Guards against many long answers at once, each within its own bound.
  it("bounds the sum of all answers, and still takes short ones", () => {
    const memory = new AnswerMemory();
    for (let answer = 0; answer < 100; answer += 1) {
      fill(new AnswerBuffer(memory));
    }
    expect(memory.used).to.be.at.most(10 * LONGEST_ANSWER);
    const short = new AnswerBuffer(memory);
    expect(short.push(new Uint8Array(800))).to.equal(true);
  });

  it("is free again once answers are disposed of", () => {
    const memory = new AnswerMemory();
    for (let answer = 0; answer < 100; answer += 1) {
      const buffer = new AnswerBuffer(memory);
      expect(fill(buffer)).to.equal(LONGEST_ANSWER);
      buffer.dispose();
    }
    expect(memory.used).to.equal(0);
  });

  // Guards against a crowd that reads no answers, so that no answer of an
  // ordinary caller can be kept until it is complete.
  it("discards the longest unread answers for others", () => {
    const memory = new AnswerMemory();
    const evicted: number[] = [];
    for (let answer = 0; answer < 100; answer += 1) {
      const unread = memory.createShare(() => evicted.push(answer));
      unread.resize(LONGEST_ANSWER / 2);
    }
    const ordinary = new AnswerBuffer(memory);
    for (let length = 0; length < LONGEST_ANSWER / 4; length += CHUNK.length) {
      expect(ordinary.push(CHUNK)).to.equal(true);
    }
    expect(evicted[0]).to.equal(0);
    expect(evicted.length).to.be.lessThan(100);
    expect(memory.used).to.be.at.most(9 * LONGEST_ANSWER);
  });
});
