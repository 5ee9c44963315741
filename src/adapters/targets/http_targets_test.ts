/** Orders are written out only while the lease still covers them. */
import { createServer } from "node:http";
import { expect } from "chai";
import { OrderKind } from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import { addressOfServer } from "../listen.ts";
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
    const address = await addressOfServer(server, "127.0.0.1:0");
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
