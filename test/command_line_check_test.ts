/** The published examples pass the checks; other files do not. */
import { readdirSync } from "node:fs";
import { expect } from "chai";
import { checkFiles } from "../src/command_line/check_files.ts";
import { formatFinding } from "../src/common/plans/findings.ts";

const EXAMPLES = new URL("../examples/", import.meta.url).pathname;

describe("cranberryledge check", () => {
  it("reports nothing for the examples", () => {
    const options = { recursive: true, encoding: "utf8" } as const;
    const files = readdirSync(EXAMPLES, options).filter(
      (name) => name.endsWith(".yaml") && !name.endsWith(".load.yaml"),
    );
    expect(files.length).to.be.at.least(6);
    const paths = files.map((name) => `${EXAMPLES}${name}`);
    expect(checkFiles(paths).map(formatFinding)).to.deep.equal([]);
  });

  it("reports for other files what it expected", () => {
    const found = checkFiles(["package.json", "src", "missing.yaml"]);
    const texts = found.map(formatFinding);
    expect(texts).to.have.length(3);
    expect(texts[0]).to.include("is neither settings nor a list");
    expect(texts[1]).to.include("src:1:1: cannot be read");
    expect(texts[2]).to.include("missing.yaml:1:1: cannot be read");
  });
});
