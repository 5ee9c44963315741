/** Answers that go on in the smallest pieces that their protocol allows. */
import type { Writable } from "node:stream";

/** Bytes of one write, at least. */
const WRITE_LENGTH = 65_536;

const OPEN_BODY =
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" +
  "transfer-encoding: chunked\r\n\r\n";

/** Fields of a head that is not complete and stays within common limits. */
const HELD_FIELDS = 16_000;

/** An answer: bytes that come once, then others without end. */
export interface IEndlessAnswer {
  readonly beginning: string;
  /** Empty for an answer that stops after its beginning. */
  readonly repeated: string;
}

/** By what each consists of. */
export const ENDLESS_PIECES = {
  chunks: { beginning: OPEN_BODY, repeated: "1\r\nx\r\n" },
  "chunks with extensions": {
    beginning: OPEN_BODY,
    repeated: `1;${"e".repeat(8_192)}\r\nx\r\n`,
  },
  "chunks of a failure": {
    beginning: OPEN_BODY.replace("200 OK", "500 Internal Server Error"),
    repeated: "1\r\nx\r\n",
  },
  "lines of a failure": {
    beginning: OPEN_BODY.replace("200 OK", "500 Internal Server Error"),
    repeated: "2\r\n{}\r\n1\r\n\n\r\n",
  },
  fields: { beginning: "HTTP/1.1 200 OK\r\n", repeated: "a:\r\n" },
  "a held head": {
    beginning: `HTTP/1.1 200 OK\r\n${"a:\r\n".repeat(HELD_FIELDS)}`,
    repeated: "",
  },
  "provisional heads": {
    beginning: "",
    repeated: "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n",
  },
  trailers: { beginning: `${OPEN_BODY}0\r\n`, repeated: "a:\r\n" },
} as const satisfies Readonly<Record<string, IEndlessAnswer>>;

/** Events that are complete, each in a chunk of its own. */
export const ENDLESS_EVENTS: IEndlessAnswer = {
  beginning: OPEN_BODY,
  repeated: "3\r\na\n\n\r\n",
};

/**
 * Writes an answer for as long as it is read.
 *
 * @param headers - lines that are added to a final head
 */
export function writePieces(
  stream: Writable,
  { beginning, repeated }: IEndlessAnswer,
  headers: readonly string[] = [],
): void {
  const added = headers.map((line) => `${line}\r\n`).join("");
  stream.on("error", () => stream.destroy());
  stream.write(beginning.replace("\r\n", `\r\n${added}`));
  if (repeated === "") {
    return;
  }
  const count = Math.ceil(WRITE_LENGTH / repeated.length);
  const bytes = Buffer.from(repeated.repeat(count));
  const fill = () => {
    while (!stream.destroyed && stream.write(bytes)) {
      // Continues until the buffer is full.
    }
  };
  stream.on("drain", fill);
  fill();
}
