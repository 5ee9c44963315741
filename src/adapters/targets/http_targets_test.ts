/** Orders are written out only while the lease still covers them. */
import { createServer } from "node:http";
import { expect } from "chai";
import { OrderKind } from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import { TricklingTarget } from "../../../test/support/trickling_target.ts";
import { listenOn } from "../listen.ts";
import { HttpTargets } from "./http_targets.ts";

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
  // A holder is paused while it connects to an engine. Had the lease been
  // looked at only before that, the order would go out long after its end.
  it("asks for the lease after connecting, as the order is written", async () => {
    let received = 0;
    let connected = 0;
    const server = createServer((_, response) => {
      received += 1;
      response.end("{}");
    });
    server.on("connection", () => (connected += 1));
    const address = await listenOn(server, "127.0.0.1:0");
    await using targets = new HttpTargets();
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
  // Guards against a target that is never asked again, since its last report
  // trickles in and never ends.
  it("end in time though they trickle in", async () => {
    await using trickle = new TricklingTarget();
    const address = await trickle.listen();
    await using targets = new HttpTargets();
    const startedAt = performance.now();
    const report = await targets.report(address, 300);
    expect(report.isErr()).to.equal(true);
    expect(performance.now() - startedAt).to.be.lessThan(1_500);
  });
});
