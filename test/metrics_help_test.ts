import { readdirSync, readFileSync } from "node:fs";
import { expect } from "chai";
import { HELP_TEXTS } from "../src/adapters/metrics/help_texts.ts";

const SOURCES = new URL("../src/", import.meta.url).pathname;
const USE = /\b(?:count|observe|gauge)\(\s*"([^"]+)"/g;

describe("metrics", () => {
  // Guards against a metric that is exported without a help text.
  it("each have a help text and a well-formed name", () => {
    const options = { recursive: true, encoding: "utf8" } as const;
    const names = readdirSync(SOURCES, options)
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .flatMap((file) => [
        ...readFileSync(`${SOURCES}${file}`, "utf8").matchAll(USE),
      ])
      .map((match) => match[1] ?? "");
    expect(names).to.include("requests");
    for (const name of names) {
      expect(name).to.match(/^[a-z][a-z_]*[a-z]$/);
      expect(HELP_TEXTS, `help text of ${name}`).to.have.property(name);
    }
  });
});
