import { expect } from "chai";
import fc from "fast-check";
import { measureJson } from "./json_text.ts";

function depthOf(value: unknown): number {
  if (typeof value !== "object" || value === null) {
    return 0;
  }
  return 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

function countValues(value: unknown): number {
  if (typeof value !== "object" || value === null) {
    return 1;
  }
  const parts = Object.values(value).map(countValues);
  return parts.reduce((sum, count) => sum + count, 1);
}

describe("measureJson", () => {
  // Guards against a text that is parsed into more than was counted, or whose
  // strings are taken for its structure.
  it("counts at least the values, and exactly the depth", () => {
    fc.assert(
      fc.property(fc.json(), (text) => {
        const value: unknown = JSON.parse(text);
        const { values, depth } = measureJson(text);
        expect(values).to.be.at.least(countValues(value));
        expect(depth).to.equal(depthOf(value));
      }),
      { seed: 20261205 },
    );
  });

  it("ignores what stands in strings", () => {
    const text = JSON.stringify({ prompt: '[[[{,:\\"[[' });
    expect(measureJson(text)).to.deep.equal({ values: 3, depth: 1 });
  });
});
