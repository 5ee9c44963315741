/** What is recorded of answers that are broken off. */
import { expect } from "chai";
import { request } from "undici";
import {
  closeAndReset,
  closeWhileReading,
  closeWithoutReading,
  LONG_UPLOAD,
} from "../../../test/support/broken_answers.ts";
import { RawTarget } from "../../../test/support/raw_target.ts";
import type { RawDataHandler } from "../../../test/support/raw_target.ts";
import { AnswerBreak } from "../../common/calls/answer_breaks.ts";
import type { IBrokenAnswer } from "../../common/calls/answer_breaks.ts";
import { HttpClients } from "./http_clients.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";
const WITHOUT_LENGTH = `${HEAD}\r\npart`;
const WITH_LENGTH = `${HEAD}Content-Length: 9\r\n\r\npart`;

/** Returns what is recorded of one answer. */
async function recordOf(
  answer: RawDataHandler,
  { length = 10, isCancelled = false } = {},
): Promise<readonly IBrokenAnswer[]> {
  const recorded: IBrokenAnswer[] = [];
  await using target = new RawTarget(answer);
  const origin = `http://${await target.listen()}`;
  const clients = new HttpClients({
    breaks: { record: (broken) => recorded.push(broken) },
  });
  const dispatcher = clients.createPool(origin, {});
  try {
    const { body } = await request(origin, {
      method: "POST",
      body: Buffer.alloc(length),
      dispatcher,
    });
    if (isCancelled) {
      body.destroy();
    }
    await body.text();
  } catch {
    // The records are checked.
  } finally {
    await dispatcher.destroy();
  }
  return recorded;
}

describe("answers that are broken off", () => {
  // Guards against a broken answer of which an operator sees nothing.
  it("are recorded with how their connection ended", async () => {
    const [reset] = await recordOf(closeAndReset(WITHOUT_LENGTH, 0));
    expect(reset).to.include({ end: AnswerBreak.Reset, hasLength: false });
    expect(reset?.sent).to.be.greaterThan(10);
    expect(reset?.unsent).to.equal(0);

    const closed = await recordOf(closeWhileReading(WITH_LENGTH));
    expect(closed).to.have.length(1);
    expect(closed[0]).to.include({ end: AnswerBreak.Close, hasLength: true });
  });

  // Guards against the same for a target that never reads the request.
  it("are recorded with what was not sent", async () => {
    const answer = closeWithoutReading(WITHOUT_LENGTH);
    const [unread] = await recordOf(answer, { length: LONG_UPLOAD });
    expect(unread).to.include({ end: AnswerBreak.Unread, hasLength: false });
    expect(unread?.unsent).to.be.greaterThan(0);
  });

  // Guards against a count of broken answers that callers caused.
  it("are not those that are whole or no longer wanted", async () => {
    expect(await recordOf(closeWhileReading(WITHOUT_LENGTH))).to.deep.equal([]);
    const open: RawDataHandler = (_, socket) => socket.write(WITH_LENGTH);
    expect(await recordOf(open, { isCancelled: true })).to.deep.equal([]);
  });
});
