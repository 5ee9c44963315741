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
});
