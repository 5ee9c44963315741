import { expect } from "chai";
import { TricklingTarget } from "../../../test/support/trickling_target.ts";
import { HttpPlatform } from "./http_platform.ts";

describe("calls to the platform", () => {
  // Guards against an instance list that is never read again because the last
  // response arrives byte by byte and never ends.
  it("time out even if data trickles in", async () => {
    await using trickle = new TricklingTarget();
    await using platform = new HttpPlatform(`http://${await trickle.listen()}`);
    const startedAt = performance.now();
    const listed = await platform.instances();
    expect(listed.isErr()).to.equal(true);
    expect(performance.now() - startedAt).to.be.lessThan(4_000);
  });
});
