import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { inputBarrier } from "../../test/support/event_loop_fixtures.ts";
import { waitFor } from "../../test/support/process_handle.ts";
import { hasCallerLeft, onCallerLeft } from "./caller_leave.ts";
import { listenOn } from "./listen.ts";

const REQUEST = "POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 0\r\n\r\n";

/** What a server did with the requests of one connection. */
interface IHandled {
  received: number;
  sent: number;
  left: number;
}

/** Sends each request that it receives on, behind the barrier. */
async function serve(
  callers: (address: string) => Promise<void>,
  expected: number,
): Promise<IHandled> {
  const barrier = inputBarrier();
  const handled = { received: 0, sent: 0, left: 0 };
  const server = createServer((request, response) => {
    handled.received += 1;
    if (hasCallerLeft(request, response)) {
      handled.left += 1;
      return;
    }
    const waiting = barrier.wait(() => {
      handled.sent += 1;
      response.end("done");
    });
    onCallerLeft(request, response, () => {
      handled.left += 1;
      waiting.dispose();
    });
  });
  const address = await listenOn(server, "127.0.0.1:0");
  await callers(address);
  await waitFor("the requests are handled", () => {
    return handled.sent + handled.left >= expected;
  });
  server.closeAllConnections();
  server.close();
  return handled;
}

async function open(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => socket.destroy());
  await once(socket, "connect");
  return socket;
}

describe("the leave of a caller", () => {
  const leaves: readonly [string, (socket: Socket) => void][] = [
    ["closes", (socket) => socket.destroy()],
    ["resets", (socket) => socket.resetAndDestroy()],
  ];
  for (const [name, leave] of leaves) {
    // Guards against requests sent on although the leave of their caller lies
    // unread behind them.
    it(`is known in time when it ${name} its new connection`, async () => {
      const handled = await serve(async (address) => {
        const socket = await open(address);
        socket.write(REQUEST);
        leave(socket);
      }, 1);
      expect(handled.sent).to.equal(0);
    });

    it(`is known in time when it ${name} a kept connection`, async () => {
      const handled = await serve(async (address) => {
        const socket = await open(address);
        socket.write(REQUEST);
        await once(socket, "data");
        socket.write(REQUEST);
        leave(socket);
      }, 2);
      expect(handled.sent).to.equal(1);
    });
  }

  it("is not reported after a complete response", async () => {
    const handled = await serve(async (address) => {
      const socket = await open(address);
      for (let count = 0; count < 20; count += 1) {
        socket.write(REQUEST);
        await once(socket, "data");
      }
      socket.destroy();
    }, 20);
    expect(handled).to.deep.equal({ received: 20, sent: 20, left: 0 });
  });
});
