import { expect } from "chai";
import { ESLint } from "eslint";

/** What lint says of a text, were it the file at a path. */
async function findingsOf(text: string, filePath: string) {
  const [result] = await new ESLint().lintText(text, { filePath });
  return (result?.messages ?? []).filter(
    ({ ruleId }) => ruleId === "no-restricted-syntax",
  );
}

const HEADER = 'export const name = "x-attempt-id";\n';
const FIELD = "export const entry = { seqNo: 4 };\n";

describe("the platform's names", () => {
  // A name of the wire that leaks into the product ties its decisions to one
  // platform; the next change of the wire would reach all of it.
  it("are found anywhere outside its folder", async () => {
    expect(await findingsOf(HEADER, "src/common/leak.ts")).to.have.length(1);
    expect(await findingsOf(FIELD, "src/entry/leak.ts")).to.have.length(1);
    expect(await findingsOf(FIELD, "bench/leak.ts")).to.have.length(1);
  });

  it("are allowed in it", async () => {
    expect(await findingsOf(HEADER, "platform/leak.ts")).to.deep.equal([]);
  });
});
