/** What no sound process sends to the inner port of another one. */
import { expect } from "chai";
import { request } from "undici";
import { EntryFleet, Path } from "./support/entry_fleet.ts";

/** Milliseconds after which an answer is not awaited any more. */
const TIMEOUT = 3_000;

/** Plain target and service of the calls. */
const TARGET = "p-0";
const SERVICE = "delivery";

const MESSAGE = {
  method: "POST",
  requestTarget: Path.Unsafe,
  headers: ["host", "news.example", "x-attempt-id", "odd"],
};

const SEND = {
  target: TARGET,
  call: { id: "odd", service: SERVICE, account: "desk", message: MESSAGE },
  timeLeft: 1_000,
  lastEventId: null,
  needsNewConnection: false,
};

/** Parts of the message that a target cannot be sent. */
const MESSAGES: Readonly<Record<string, object>> = {
  "a method with a space": { method: "G ET" },
  "an empty method": { method: "" },
  "a method of tunnels": { method: "CONNECT" },
  "a path with a line end": { requestTarget: "/x\r\ny: z" },
  "a path without a slash": { requestTarget: "x y" },
  "an empty path": { requestTarget: "" },
  "a header without a value": { headers: ["x"] },
  "a header with a line end": { headers: ["x", "a\r\nb: c"] },
  "a header beyond one byte": { headers: ["x", "\u65e5"] },
  "an empty name": { headers: ["", "a"] },
  "another length": { headers: ["content-length", "5"] },
  "a length that is no number": { headers: ["content-length", "x"] },
  "a coding": { headers: ["transfer-encoding", "chunked"] },
  "an expectation": { headers: ["expect", "100-continue"] },
  "an upgrade": { headers: ["upgrade", "x", "connection", "upgrade"] },
  "a connection that is not known": { headers: ["connection", "x"] },
  "two hosts": { headers: ["host", "a", "host", "b"] },
};

/** Other parts of a forwarded call. */
const SENDS: Readonly<Record<string, object>> = {
  "no time left": { timeLeft: -1 },
  "endless time": { timeLeft: 1e300 },
  "an event with a line end": { lastEventId: "1\r\nx: y" },
  "an account with a line end": {
    call: { ...SEND.call, account: "a\r\nb: c" },
  },
  "an account beyond one byte": { call: { ...SEND.call, account: "\u65e5" } },
};

const REPORT = {
  process: "odd",
  hasCalls: true,
  inFlight: { [TARGET]: 1e308 },
  work: [{ service: "summaries", model: "small", groups: 1e308, waiting: -1 }],
  tableVersion: -1,
  suspects: ["constructor", "", TARGET],
  versions: { configuration: 1e308, targets: -1 },
  storeService: { age: -1, length: 1e308, updateTime: "x" },
  rateLimits: { [TARGET]: { rate: -1, age: -1 }, constructor: null },
  forwarding: { zone: "", outOfReach: ["summaries", "x"] },
  quarantine: {
    crashes: [],
    proofs: { "": -1 },
    listVersion: -1,
    unsaved: [],
  },
  cores: 1e308,
};

const CRASH = {
  service: SERVICE,
  fingerprint: "",
  target: TARGET,
  startedAt: -1,
  age: 1e308,
};

/** Other requests, by their paths. */
const REQUESTS: readonly [string, string, object][] = [
  ["a report of odd numbers", "/exchange", { ...REPORT, rateLimits: {} }],
  ["a report that is not valid", "/exchange", REPORT],
  [
    "crashes of odd ages",
    "/forward/crashes",
    { crashes: [CRASH], wantsAll: true },
  ],
  ["a report in no time", "/forward/report", { engine: "i-0", timeout: -1 }],
  [
    "a report in endless time",
    "/forward/report",
    { engine: "i-0", timeout: 1e300 },
  ],
  [
    "an order without its plan",
    "/forward/order",
    { engine: "i-0", timeout: 1_000, order: { kind: "join" } },
  ],
  [
    "an order of another form",
    "/forward/order",
    {
      engine: "i-0",
      timeout: 1e300,
      order: { kind: "leave", group: { a: 1 }, epoch: [] },
    },
  ],
];

/** Status of the answer; 0 for none. */
async function post(
  address: string,
  path: string,
  body: string,
): Promise<number> {
  try {
    const answer = await request(`http://${address}${path}`, {
      method: "POST",
      body,
      signal: AbortSignal.timeout(TIMEOUT),
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    // What matters is how the process goes on.
    return 0;
  }
}

// Guards against a process that ends since something of another process throws
// when it is used, perhaps after its request was taken.
describe("an odd request on the inner port", () => {
  let fleet: EntryFleet;

  before(async () => {
    fleet = new EntryFleet();
    fleet.hasLinks = false;
    await fleet.start(1);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  async function expectServed(path: string, body: string): Promise<void> {
    const { handle, inner } = fleet.processes[0] ?? {};
    await post(inner ?? "", path, body);
    for (const sound of Object.values(Path)) {
      const { status } = await fleet.sendCall(0, sound);
      expect(status, sound).to.equal(200);
    }
    expect(handle?.hasExited, "the process has ended").to.equal(false);
  }

  // Guards against odd calls that are refused for another reason.
  it("is taken if it is a sound one", async () => {
    const { inner } = fleet.processes[0] ?? {};
    const body = `${JSON.stringify(SEND)}\ntext`;
    expect(await post(inner ?? "", "/forward/send", body)).to.equal(200);
    expect(fleet.plainTargets[0]?.runs).to.include("odd");
  });

  for (const [name, part] of Object.entries(MESSAGES)) {
    it(`leaves others served: ${name}`, async () => {
      const call = { ...SEND.call, message: { ...MESSAGE, ...part } };
      const line = JSON.stringify({ ...SEND, call });
      await expectServed("/forward/send", `${line}\ntext`);
    });
  }

  for (const [name, part] of Object.entries(SENDS)) {
    it(`leaves others served: ${name}`, async () => {
      const line = JSON.stringify({ ...SEND, ...part });
      await expectServed("/forward/send", `${line}\ntext`);
    });
  }

  for (const [name, path, content] of REQUESTS) {
    it(`leaves others served: ${name}`, async () => {
      await expectServed(path, JSON.stringify(content));
    });
  }
});
