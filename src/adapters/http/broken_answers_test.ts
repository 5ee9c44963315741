/** Answers that are broken off or not valid, on each kind of client. */
import { expect } from "chai";
import { request } from "undici";
import type { Dispatcher } from "undici";
import {
  BREAKS,
  closeWhileReading,
  closeWithoutReading,
  HEADS_WITHOUT_LENGTH,
  INVALID_HEADS,
  LONG_UPLOAD,
} from "../../../test/support/broken_answers.ts";
import { RawTarget } from "../../../test/support/raw_target.ts";
import type { RawDataHandler } from "../../../test/support/raw_target.ts";
import { HttpClients } from "./http_clients.ts";

const PART = "part";

/** Bytes of the longest body that is read. */
const LIMIT = 65_536;

/** Bytes of requests. */
const LENGTHS = [10, 1_000_000, LONG_UPLOAD];

type ClientFactory = (clients: HttpClients, origin: string) => Dispatcher;

const CLIENTS: Readonly<Record<string, ClientFactory>> = {
  agent: (clients) => clients.createAgent({}),
  pool: (clients, origin) => clients.createPool(origin, {}),
  client: (clients, origin) => clients.createClient(origin, {}),
};

/** Returns the text of an answer; null if it is not read as a whole one. */
async function read(
  createClient: ClientFactory,
  answer: RawDataHandler,
  length: number,
): Promise<string | null> {
  await using target = new RawTarget(answer);
  const source = await target.listen();
  const clients = new HttpClients();
  const dispatcher = createClient(clients, `http://${source}`);
  try {
    const { body } = await request(`http://${source}/`, {
      method: "POST",
      body: Buffer.alloc(length),
      dispatcher,
    });
    return await clients.readText(body, { limit: LIMIT, source });
  } catch {
    return null;
  } finally {
    await dispatcher.destroy();
  }
}

for (const [client, create] of Object.entries(CLIENTS)) {
  describe(`answers without a length to an HTTP ${client}`, () => {
    for (const [name, head] of Object.entries(HEADS_WITHOUT_LENGTH)) {
      const text = `${head}\r\n${PART}`;

      for (const [end, breakOff] of Object.entries(BREAKS)) {
        // Guards against a part of an answer that is read as a whole one: the
        // system may report a reset as the connection's orderly end.
        it(`are not read once they are broken by ${end}: ${name}`, async () => {
          for (const length of LENGTHS) {
            const found = await read(create, breakOff(text), length);
            expect(found, `${length} bytes`).to.equal(null);
          }
        });
      }

      // Guards against a check for broken answers that sound ones fail.
      it(`are read if the request is read: ${name}`, async () => {
        for (const length of LENGTHS) {
          const found = await read(create, closeWhileReading(text), length);
          expect(found, `${length} bytes`).to.equal(PART);
        }
      });
    }

    // Guards against the same where no reset comes: the other side keeps its
    // connection open for what it never reads.
    it("are not read if the request cannot be written", async () => {
      const [head = ""] = Object.values(HEADS_WITHOUT_LENGTH);
      const answer = closeWithoutReading(`${head}\r\n${PART}`);
      expect(await read(create, answer, LONG_UPLOAD)).to.equal(null);
    });
  });

  describe(`invalid heads of answers to an HTTP ${client}`, () => {
    // Guards against an answer that is no HTTP and is read as one.
    for (const [name, head] of Object.entries(INVALID_HEADS)) {
      it(`are not read: ${name}`, async () => {
        for (const length of ["", `Content-Length: ${PART.length}\r\n`]) {
          const answer = closeWhileReading(`${head}${length}\r\n${PART}`);
          expect(await read(create, answer, 10)).to.equal(null);
        }
      });
    }
  });
}
