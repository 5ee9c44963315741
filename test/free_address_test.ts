import { createServer } from "node:net";
import { expect } from "chai";
import { FIRST_PORT, freeAddress, PORT_COUNT } from "./support/free_address.ts";

function portOf(address: string): number {
  return Number(address.split(":")[1]);
}

describe("free addresses", () => {
  // Guards against a process that cannot listen because an outgoing connection
  // was assigned its port just before.
  it("have ports outside the ephemeral range", async () => {
    const port = portOf(await freeAddress());
    expect(port).to.be.at.least(FIRST_PORT);
    expect(port).to.be.below(FIRST_PORT + PORT_COUNT);
  });

  it("skip a port that is in use", async () => {
    const port = portOf(await freeAddress()) + 1;
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve),
    );
    expect(portOf(await freeAddress())).to.not.equal(port);
    server.close();
  });
});
