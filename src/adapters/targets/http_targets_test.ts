/** Orders are only written during the lease; reports have a time limit. */
import { createServer } from "node:http";
import { expect } from "chai";
import { OrderKind } from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import { TricklingTarget } from "../../../test/support/trickling_target.ts";
import { listenOn } from "../listen.ts";
import { HttpTargets } from "./http_targets.ts";
import { inputBarrier } from "../../../test/support/event_loop_fixtures.ts";

const ORDER = {
  kind: OrderKind.Release,
  group: "fabric/1",
  rank: 0,
  model: "",
  members: [],
  epoch: 1,
  generation: 1,
  validFor: 1_000,
};

describe("orders to targets", () => {
  // Guards against an order sent after the lease has expired: a holder that is
  // paused while connecting must check the lease again before it writes.
  it("checks the lease after connecting, before writing an order", async () => {
    let received = 0;
    let connected = 0;
    const server = createServer((_, response) => {
      received += 1;
      response.end("{}");
    });
    server.on("connection", () => (connected += 1));
    const address = await listenOn(server, "127.0.0.1:0");
    await using targets = new HttpTargets(inputBarrier());
    const send = () => {
      const isStillDue = () => connected === 0;
      return targets.order(address, ORDER, { timeout: 1_000, isStillDue });
    };
    const late = await send();
    expect(late.isErr() && late.error.kind).to.equal(CallFailureKind.NotSent);
    expect(received).to.equal(0);
    const due = await targets.order(address, ORDER, {
      timeout: 1_000,
      isStillDue: () => true,
    });
    expect(due.isOk()).to.equal(true);
    expect(received).to.equal(1);
    server.close();
  });
});

describe("reports of targets", () => {
  // Guards against a target that is never polled again because its last report
  // arrives byte by byte and never ends.
  it("time out even if data trickles in", async () => {
    await using trickle = new TricklingTarget();
    const address = await trickle.listen();
    await using targets = new HttpTargets(inputBarrier());
    const startedAt = performance.now();
    const report = await targets.report(address, 300);
    expect(report.isErr()).to.equal(true);
    expect(performance.now() - startedAt).to.be.lessThan(1_500);
  });
});
