import { PassThrough } from "node:stream";
import type { Socket } from "node:net";
import { expect } from "chai";
import { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { InputSchedule } from "../input_schedule.ts";
import { AnswerInput } from "./answer_input.ts";

/** Milliseconds; more than reading may take in a turn of the event loop. */
const WHOLE_TURN = 1_000;

/** Bytes; twice as many as may come beside any content, and more. */
const MORE_THAN_FRAMING = 80_000;

/** A connection to which a test writes, whose input has no time left. */
class Harness {
  readonly socket = new PassThrough() as unknown as Socket;
  readonly input: AnswerInput;

  constructor() {
    const schedule = new InputSchedule();
    this.input = new AnswerInput(this.socket, {
      schedule,
      memory: new AnswerMemory(),
      onExceeded: () => undefined,
      onBroken: () => undefined,
    });
    const other = { readPiece: () => false };
    schedule.tryRead(other);
    schedule.recordTime(other, WHOLE_TURN);
  }

  /** Writes bytes and returns what the parser gets at once. */
  read(text: string): string | null {
    this.socket.write(text);
    const piece = this.socket.read() as Buffer | null;
    return piece?.toString() ?? null;
  }
}

describe("AnswerInput", () => {
  it("puts an answer off when the turn has no time left", async () => {
    const { socket, input } = new Harness();
    input.recordStart();
    socket.write("answer");
    expect(socket.read()).to.equal(null);
    const pieces: string[] = [];
    socket.on("readable", () => {
      const piece = socket.read() as Buffer | null;
      pieces.push(...(piece === null ? [] : [piece.toString()]));
    });
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    expect(pieces).to.deep.equal(["answer"]);
  });

  // Guards against bytes that came before a request and are parsed after it, as
  // its answer.
  it("puts nothing off while no answer is awaited", () => {
    const harness = new Harness();
    expect(harness.read("before")).to.equal("before");
    harness.input.recordStart();
    harness.input.recordHead(true);
    harness.input.recordEnd();
    expect(harness.read("after")).to.equal("after");
  });

  // Guards against work on what has arrived beyond a bound: the parser makes an
  // error of each further field.
  it("leaves the rest unread once a bound is exceeded", () => {
    const harness = new Harness();
    harness.socket.on("error", () => undefined);
    harness.socket.write("x".repeat(MORE_THAN_FRAMING));
    let read = 0;
    for (;;) {
      const piece = harness.socket.read() as Buffer | null;
      if (piece === null) {
        break;
      }
      read += piece.length;
    }
    expect(harness.socket.destroyed).to.equal(true);
    expect(read).to.be.at.most(MORE_THAN_FRAMING / 2);
  });

  // Guards against an error that the parser takes for the end of an answer.
  it("reports a reset as an error of its own", async () => {
    const { socket } = new Harness();
    const reported = new Promise((resolve) => socket.on("error", resolve));
    const error = Object.assign(new Error("read"), { code: "ECONNRESET" });
    socket.destroy(error);
    expect(await reported).to.include({ code: "CONNECTION_RESET" });
  });
});
