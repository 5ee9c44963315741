import { once } from "node:events";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { expect } from "chai";
import { request } from "undici";
import { listenOn } from "../listen.ts";
import { withTimeLimit } from "../time_limit.ts";
import { afterDelay, everyPeriod } from "./poll_timer.ts";

/** Milliseconds. */
const LIMIT = 50;

/** Keeps the event loop from turning, as a process without a processor does. */
function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    // Nothing else runs meanwhile.
  }
}

describe("timers of a process that is behind", () => {
  // Guards against an answer that lies unread and is taken for a missing one.
  it("leave an answer that has arrived in time", async () => {
    const server = createServer((_, response) => response.end("here"));
    const address = await listenOn(server, "127.0.0.1:0");
    const url = `http://${address}/`;
    // The connection is open, so that the answer comes within one turn.
    await (await request(url)).body.dump();
    const answer = withTimeLimit(LIMIT, async (signal) => {
      const { body } = await request(url, { signal });
      return body.text();
    });
    server.once("request", () => setImmediate(() => block(3 * LIMIT)));
    expect(await answer).to.equal("here");
    server.closeAllConnections();
    server.close();
  });

  it("do not call back once they are disposed of", async () => {
    const called: string[] = [];
    const single = afterDelay(0, () => called.push("once"));
    const every = everyPeriod(1, () => called.push("every"));
    single.dispose();
    every.dispose();
    const done = new AbortController();
    afterDelay(10, () => done.abort());
    await once(done.signal, "abort");
    expect(called).to.deep.equal([]);
  });
});
