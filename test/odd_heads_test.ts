/** Heads of answers that no sound target writes, on each path to a caller. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** The process that reaches the targets, and the one that sends through it. */
const NEAR = 0;
const FAR = 1;

/** Characters of a value within and beyond what a head may have. */
const LONG_VALUE = 12_000;
const TOO_LONG_VALUE = 100_000;

const NOT_ANSWERED = [502, 503, 504];

/** An event, so that a stream with it is whole. */
const BODY = "data: ok\n\n";

/** What a head says, and the statuses that a caller may see. */
interface IOddHead {
  readonly status: string;
  readonly fields?: readonly string[];
  readonly expected: readonly number[];
}

const HEADS: Readonly<Record<string, IOddHead>> = {
  "status 000": { status: "000 Odd", expected: NOT_ANSWERED },
  "status 099": { status: "099 Odd", expected: NOT_ANSWERED },
  "status 100 alone": { status: "100 Continue", expected: NOT_ANSWERED },
  "status 101 with bytes": {
    status: "101 Switching Protocols",
    fields: ["connection: upgrade", "upgrade: x"],
    expected: NOT_ANSWERED,
  },
  "status 101 without an upgrade": {
    status: "101 Switching Protocols",
    expected: NOT_ANSWERED,
  },
  "status 199": { status: "199 Odd", expected: NOT_ANSWERED },
  "status 204 with a body": {
    status: "204 No Content",
    expected: [204, ...NOT_ANSWERED],
  },
  "status 304 with a body": {
    status: "304 Not Modified",
    expected: [304, ...NOT_ANSWERED],
  },
  "status 999": { status: "999 Odd", expected: [999] },
  "status of four digits": { status: "1000 Odd", expected: NOT_ANSWERED },
  "status that is no number": { status: "2x0 Odd", expected: NOT_ANSWERED },
  "a reason beyond ASCII": { status: "200 \u65e5\u00e9", expected: [200] },
  "a value beyond ASCII": {
    status: "200 OK",
    fields: ["x-odd: \u65e5\u00e9"],
    expected: [200],
  },
  "a value with control characters": {
    status: "200 OK",
    fields: ["x-odd: a\u0001b\u007f"],
    expected: [200, ...NOT_ANSWERED],
  },
  "a value with a line end": {
    status: "200 OK",
    fields: ["x-odd: a\rb"],
    expected: NOT_ANSWERED,
  },
  "a value on several lines": {
    status: "200 OK",
    fields: ["x-odd: a\r\n b"],
    expected: [200, ...NOT_ANSWERED],
  },
  "a name with a space": {
    status: "200 OK",
    fields: ["x odd: a"],
    expected: NOT_ANSWERED,
  },
  "a name before a space": {
    status: "200 OK",
    fields: ["x-odd : a"],
    expected: NOT_ANSWERED,
  },
  "a name with a tab": {
    status: "200 OK",
    fields: ["x\todd: a"],
    expected: NOT_ANSWERED,
  },
  "a name with a null character": {
    status: "200 OK",
    fields: ["x\0odd: a"],
    expected: NOT_ANSWERED,
  },
  "a name with a control character": {
    status: "200 OK",
    fields: ["x\u0001odd: a"],
    expected: NOT_ANSWERED,
  },
  "an empty name": {
    status: "200 OK",
    fields: [": a"],
    expected: NOT_ANSWERED,
  },
  "names of objects": {
    status: "200 OK",
    fields: ["__proto__: a", "constructor: b", "__proto__: c"],
    expected: [200],
  },
  "a long value": {
    status: "200 OK",
    fields: [`x-odd: ${"v".repeat(LONG_VALUE)}`],
    expected: [200],
  },
  "a value that is too long": {
    status: "200 OK",
    fields: [`x-odd: ${"v".repeat(TOO_LONG_VALUE)}`],
    expected: NOT_ANSWERED,
  },
  "trailers that are announced": {
    status: "200 OK",
    fields: ["trailer: x-odd"],
    expected: [200],
  },
  "another length in its connection's options": {
    status: "200 OK",
    fields: ["connection: content-length, x-odd", "x-odd: a"],
    expected: [200],
  },
  "two lengths": {
    status: "200 OK",
    fields: ["content-length: 5"],
    expected: NOT_ANSWERED,
  },
  "a coding of no known kind": {
    status: "200 OK",
    fields: ["transfer-encoding: x"],
    expected: [200, ...NOT_ANSWERED],
  },
  "retries after no time": {
    status: "503 Service Unavailable",
    fields: ["retry-after: x", "retry-after: -1"],
    expected: [503, ...NOT_ANSWERED],
  },
};

/** A call, and what its caller saw; 0 for a broken connection. */
interface ISeen {
  readonly call: string;
  readonly status: number;
}

/** Starts two processes, of which one reaches no target. */
async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  await fleet.start(2);
  fleet.setLinks(FAR, LinkMode.Refuse);
  await fleet.waitUntilLost(FAR);
  return fleet;
}

function answerOf({ status, fields = [] }: IOddHead) {
  const lines = [`HTTP/1.1 ${status}`, ...fields];
  const head = [...lines, `content-length: ${BODY.length}`].join("\r\n");
  return { beginning: `${head}\r\n\r\n${BODY}`, repeated: "" };
}

async function statusOf(
  fleet: EntryFleet,
  process: number,
  path: Path,
): Promise<number> {
  const answer = await fleet.sendCall(process, path).catch(() => null);
  return answer?.status ?? 0;
}

/** Sends calls of each kind to both processes. */
function play(fleet: EntryFleet): Promise<readonly ISeen[]> {
  return Promise.all(
    [NEAR, FAR].flatMap((process) =>
      Object.values(Path).map(async (path) => ({
        call: `${path} at process ${process}`,
        status: await statusOf(fleet, process, path),
      })),
    ),
  );
}

/** Has all targets answer with a head, or as usual. */
function setHead({ plainTargets, engines }: EntryFleet, head: IOddHead | null) {
  const pieces = head === null ? null : answerOf(head);
  plainTargets.forEach((one) => (one.pieces = pieces));
  engines.forEach((one) => {
    one.pieces = pieces === null ? null : { path: null, answer: pieces };
  });
}

// Guards against a process that ends, or a caller that is never answered, since
// a target's head throws when it is passed on.
describe("an odd head of a target", () => {
  let fleet: EntryFleet;

  before(async () => {
    fleet = await startFleet();
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  afterEach(async () => {
    setHead(fleet, null);
    await waitFor("each call is served again", async () => {
      const seen = await play(fleet);
      return seen.every(({ status }) => status === 200);
    });
  });

  for (const [name, head] of Object.entries(HEADS)) {
    it(`ends no process, and its call is answered: ${name}`, async () => {
      setHead(fleet, head);
      const seen = await play(fleet);
      setHead(fleet, null);
      for (const { handle } of fleet.processes) {
        expect(handle.hasExited, "a process has ended").to.equal(false);
        expect(handle.output).to.not.match(/event=forwarding_fault/);
      }
      for (const { call, status } of seen) {
        expect(status, call).to.be.oneOf(head.expected);
      }
    });
  }
});
