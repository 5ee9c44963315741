import { expect } from "chai";
import { PromptParts } from "./prompt_parts.ts";
import type { ICallerRequest } from "./types.ts";

describe("the sections of a prompt", () => {
  let digests = 0;
  const parts = new PromptParts((text) => {
    digests += 1;
    return `${text}#${"-".repeat(40)}`;
  });

  function requestOf(body: unknown): ICallerRequest {
    return { body } as ICallerRequest;
  }

  it("are digests of all but the last, each once", () => {
    const prompt = "system\n\nnotes\n \n\nsystem\n\nquestion";
    const { shared } = parts.of(requestOf({ prompt }));
    expect(shared).to.deep.equal(["system#---------", "notes#----------"]);
  });

  it("are none for one section, and for a body without a prompt", () => {
    for (const body of [{ prompt: "a\nb" }, { prompt: 3 }, null, "text"]) {
      expect(parts.of(requestOf(body)).shared).to.deep.equal([]);
    }
  });

  // Guards against two requests that are taken for attempts of one, or attempts
  // of one request that are not recognized.
  it("have a digest of all of them, which is missing without a prompt", () => {
    const digestOf = (body: unknown) => parts.of(requestOf(body)).digest;
    expect(digestOf({ prompt: "a\n\nb" })).to.equal(
      digestOf({ prompt: " a\n\nb\n" }),
    );
    expect(digestOf({ prompt: "a\n\nb" })).to.not.equal(
      digestOf({ prompt: "a\n\nc" }),
    );
    for (const body of [{ prompt: 3 }, null, "text"]) {
      expect(digestOf(body)).to.equal(null);
    }
  });

  it("are computed once for a request, and bounded in number", () => {
    const prompt = Array.from({ length: 500 }, (_, index) => `part ${index}`);
    const request = requestOf({ prompt: prompt.join("\n\n") });
    expect(parts.of(request).shared).to.have.length(64);
    const before = digests;
    parts.of(request);
    expect(digests).to.equal(before);
  });
});
