import { expect } from "chai";
import { GroupMemberState, ListedState } from "../../common/calls/types.ts";
import type { ExchangeAnswer } from "../../common/replicas/exchange.ts";
import { decodeExchangeAnswer } from "./holder_reply_schema.ts";

const GROUP = {
  group: "group-1",
  service: "summaries",
  model: "small",
  head: { id: "i-0", address: "127.0.0.1:80" },
  zone: "north-a",
  slots: 4,
  takesWork: true,
  pace: 1,
  isZoneOnly: false,
};

const TARGET = {
  id: "i-0",
  startedAt: 0,
  service: "summaries",
  address: "127.0.0.1:80",
  zone: "north-a",
  slots: 4,
  state: ListedState.Ready,
  engine: {
    staged: ["small"],
    model: null,
    membership: {
      group: "group-1",
      epoch: 0,
      rank: 0,
      state: GroupMemberState.Open,
    },
    domain: "",
  },
};

const STATUS = { version: 7, changedVersion: 6, age: 0.5 };

const CAUSE = { service: "summaries", parts: ["a:1"] };

const REPLY: ExchangeAnswer = {
  isHolder: true,
  word: {
    tableVersion: 2,
    groups: null,
    tableChanges: { since: 1, changed: [GROUP], removed: ["group-0"] },
    givenUp: null,
    othersInFlight: { "group-1": 3 },
    isInDoubt: false,
    processes: 2,
    rateLimits: { "p-0": { rate: null, age: 1 } },
    rateShares: { "p-0": 0.5 },
    store: {
      configuration: { ...STATUS, returnAge: 5 },
      targets: { ...STATUS, service: { age: 1, length: 2 }, renewalAge: 3 },
      targetChanges: {
        targets: [TARGET],
        removed: ["i-1"],
        expiring: { "i-2": 100 },
      },
      updateTime: "run@5",
    },
    peers: [{ address: "127.0.0.1:81", zone: "north-a" }],
    quarantine: {
      received: 0,
      suspects: ["summaries a:1"],
      listVersion: 1,
      entries: [{ ...CAUSE, since: 1, until: 2, crashes: 3, isSaved: true }],
      released: [CAUSE],
    },
    isSuccessor: true,
  },
};

/** A reply of the oldest build that may run alongside. */
const SHORT_REPLY: ExchangeAnswer = {
  isHolder: true,
  word: {
    tableVersion: 2,
    groups: [GROUP],
    othersInFlight: {},
    isInDoubt: true,
    processes: 1,
  },
};

const REFERRAL: ExchangeAnswer = {
  isHolder: false,
  other: { process: "127.0.0.1:82/run" },
};

/** Parts of the longest reply, at least. */
const PARTS = 80;

describe("decodeExchangeAnswer", () => {
  // Guards against a sound reply that is refused, or loses a part.
  it("returns replies unchanged, with fields that it does not know", () => {
    for (const answer of [REPLY, SHORT_REPLY, REFERRAL]) {
      const sent: unknown = JSON.parse(JSON.stringify(answer));
      expect(decodeExchangeAnswer(sent)).to.deep.equal(answer);
      const newer = { ...answer, added: { later: true } };
      expect(decodeExchangeAnswer(newer)).to.deep.equal(newer);
    }
  });

  // Guards against a part of a reply in another form, which would fail where it
  // is used.
  it("returns null for a reply of which any part has another form", () => {
    const changed = variants(REPLY);
    expect(changed.length).to.be.greaterThan(PARTS);
    for (const reply of changed) {
      expect(decodeExchangeAnswer(reply), JSON.stringify(reply)).to.equal(null);
    }
  });
});

/** Copies of a value in each of which one part has no valid form. */
function variants(value: unknown): readonly unknown[] {
  const inner =
    typeof value === "object" && value !== null
      ? Object.entries(value).flatMap(([key, part]) =>
          variants(part).map((changed) => withPart(value, key, changed)),
        )
      : [];
  return [[[7]], ...inner];
}

function withPart(value: object, key: string, part: unknown): unknown {
  return Array.isArray(value)
    ? value.map((one: unknown, index) => (String(index) === key ? part : one))
    : { ...value, [key]: part };
}
