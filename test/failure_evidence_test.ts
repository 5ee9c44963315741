import { expect } from "chai";
import { formatOutputTails } from "./support/failure_evidence.ts";

describe("the output printed for a failed test", () => {
  // Guards against a failed test without output to diagnose it from.
  it("is the last lines of each process", () => {
    const output = Array.from({ length: 60 }, (_, line) => `line ${line}\n`);
    const text = formatOutputTails([
      { name: "daemon-a", output: output.join("") },
      { name: "engine-a", output: "event=listening\n" },
    ]);
    expect(text.split("\n")).to.have.length(43);
    expect(text).to.match(/^--- daemon-a, 60 lines\nline 20\n/);
    expect(text).to.match(/line 59\n--- engine-a, 1 lines\nevent=listening$/);
  });
});
