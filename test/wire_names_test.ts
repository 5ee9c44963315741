import { expect } from "chai";
import { ESLint } from "eslint";

/** Lints a text as the file at a path; returns the findings of the rule. */
async function findingsOf(text: string, filePath: string) {
  const [result] = await new ESLint().lintText(text, { filePath });
  return (result?.messages ?? []).filter(
    ({ ruleId }) => ruleId === "no-restricted-syntax",
  );
}

const HEADER = 'export const name = "x-attempt-id";\n';
const FIELD = "export const entry = { seqNo: 4 };\n";

describe("the lint rule for names of the platform's protocol", () => {
  // Guards against a protocol name used outside platform/: it would tie the
  // product to one platform, and each protocol change would affect all of it.
  it("reports them outside the platform's folder", async () => {
    expect(await findingsOf(HEADER, "src/common/leak.ts")).to.have.length(1);
    expect(await findingsOf(FIELD, "src/entry/leak.ts")).to.have.length(1);
    expect(await findingsOf(FIELD, "bench/leak.ts")).to.have.length(1);
  });

  it("allows them inside it", async () => {
    expect(await findingsOf(HEADER, "platform/leak.ts")).to.deep.equal([]);
  });
});
