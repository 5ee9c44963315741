/** Answers that targets break off, or that are not valid, before a daemon. */
import { expect } from "chai";
import {
  BREAKS,
  closeAndReset,
  closeWhileReading,
  HEADS_WITHOUT_LENGTH,
  INVALID_HEADS,
} from "./support/broken_answers.ts";
import { FaultyDeployment, Operation } from "./support/faulty_deployment.ts";
import type { FaultyAnswer } from "./support/faulty_target.ts";
import type { RawDataHandler } from "./support/raw_target.ts";

const STATUS_OK = 200;

/** Statuses of calls that may have run, or were not taken. */
const NOT_ANSWERED = [502, 503, 504];

const PLAIN_PATH = "/call";
const ENGINE_PATH = "/generate";
const PLAIN = [Operation.Repeatable, Operation.AtMostOnce];

/** Answers a call to a plain service with a head and a sound body. */
function answerWith(
  head: string,
  answer: (text: string) => RawDataHandler,
): FaultyAnswer {
  return ({ socket }, body) => {
    const { requestId } = JSON.parse(body) as { readonly requestId: string };
    const text = JSON.stringify({ requestId, answer: {} });
    if (socket !== null) {
      answer(`${head}\r\n${text}`)("", socket);
    }
  };
}

describe("broken answers, before a daemon", () => {
  let faulty: FaultyDeployment;

  before(async () => {
    faulty = await FaultyDeployment.start();
  });

  after(async () => {
    await faulty[Symbol.asyncDispose]();
  });

  afterEach(() => {
    [faulty.service, ...faulty.engines].forEach(({ faults }) => faults.clear());
  });

  for (const [name, head] of Object.entries(HEADS_WITHOUT_LENGTH)) {
    for (const [end, breakOff] of Object.entries(BREAKS)) {
      // Guards against a part of an answer that is passed on as a whole one:
      // its target closed and reset the connection.
      it(`are no success once broken by ${end}: ${name}`, async () => {
        faulty.service.faults.set(PLAIN_PATH, answerWith(head, breakOff));
        for (const operation of PLAIN) {
          const status = await faulty.statusOf(operation);
          expect(status, operation).to.be.oneOf(NOT_ANSWERED);
        }
      });
    }

    // Guards against a check for broken answers that sound ones fail.
    it(`are passed on if they end in order: ${name}`, async () => {
      const answer = answerWith(head, closeWhileReading);
      faulty.service.faults.set(PLAIN_PATH, answer);
      for (const operation of PLAIN) {
        expect(await faulty.statusOf(operation)).to.equal(STATUS_OK);
      }
    });
  }

  // Guards against a broken answer of which an operator sees nothing.
  it("are logged if they are broken off", async () => {
    const answer = answerWith("HTTP/1.1 200 OK\r\n", (text) =>
      closeAndReset(text, 0),
    );
    faulty.service.faults.set(PLAIN_PATH, answer);
    await faulty.statusOf(Operation.Repeatable);
    const lines = faulty.linesOf("answer_broken_off").join("\n");
    expect(lines).to.match(/end=reset source=\S+ has_length=false/);
  });

  for (const [name, head] of Object.entries(INVALID_HEADS)) {
    // Guards against an answer that is no HTTP and is passed on as a success.
    it(`are no success if their head is invalid: ${name}`, async () => {
      const answer = answerWith(head, closeWhileReading);
      faulty.service.faults.set(PLAIN_PATH, answer);
      for (const operation of PLAIN) {
        const status = await faulty.statusOf(operation);
        expect(status, operation).to.be.oneOf(NOT_ANSWERED);
      }
    });
  }

  // Guards against the same in answers of engines.
  it("are no success of engines if their head is invalid", async () => {
    const heads = Object.values(INVALID_HEADS);
    let answers = 0;
    faulty.failEngines(ENGINE_PATH, (response, body) => {
      answerWith(heads[answers % heads.length] ?? "", closeWhileReading)(
        response,
        body,
      );
      answers += 1;
    });
    const calls = [Operation.Stream, Operation.Text].flatMap((operation) =>
      heads.map(() => faulty.statusOf(operation)),
    );
    expect(await Promise.all(calls)).to.not.include(STATUS_OK);
    expect(answers).to.be.at.least(heads.length);
  });
});
