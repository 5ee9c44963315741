import { createServer } from "node:http";
import { expect } from "chai";
import { TricklingTarget } from "../../../test/support/trickling_target.ts";
import { listenOn } from "../listen.ts";
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

  // Guards against a daemon that ends, or follows a list no more, since another
  // writer left an object that cannot be read in it.
  it("leave odd objects out, and take odd answers for failures", async () => {
    const good = { kind: "k", name: "good", version: 3, value: 1 };
    const odd = [
      null,
      7,
      {},
      [],
      { ...good, name: 1 },
      { ...good, version: "" },
    ];
    const answers = [{ version: 5, objects: [...odd, good] }, null, [], {}];
    const server = createServer((request, response) => {
      const at = Number(/answer-(\d+)/.exec(request.url ?? "")?.[1] ?? 0);
      response.end(JSON.stringify(answers[at]));
    });
    const address = await listenOn(server, "127.0.0.1:0");
    await using platform = new HttpPlatform(`http://${address}`);
    const listed = await platform.list("answer-0");
    expect(listed.unwrap().objects).to.deep.equal([good]);
    expect(listed.unwrap().unreadable).to.equal(odd.length);
    for (const kind of ["answer-1", "answer-2", "answer-3"]) {
      expect((await platform.list(kind)).isErr(), kind).to.equal(true);
      expect((await platform.read(kind, "a")).isErr(), kind).to.equal(true);
    }
    server.closeAllConnections();
    server.close();
  });
});
