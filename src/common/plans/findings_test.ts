import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { checkSettings } from "../../daemon/settings.ts";
import { formatFinding, MAXIMUM_TEXT_LENGTH } from "./findings.ts";
import { checkCustomers, checkPlans } from "./plan_list_schema.ts";
import type { IFinding } from "./types.ts";

use(jestSnapshotPlugin());

const DIGEST = "0".repeat(64);
const CUSTOMER = `- {account: a, plan: b, credential_sha256: "${DIGEST}"}`;

const LISTS: Readonly<Record<string, string>> = {
  empty: "",
  "comments only": "# nothing here\n",
  "a duplicate key": "customers: []\ncustomers: []\n",
  "two documents": "customers: []\n---\ncustomers: []\n",
  "broken syntax": "customers: [\n  - a: }\n",
  "not a map": "- customers\n",
  "unknown and missing keys": `customers:
  - account: desk
    plann: newsroom
    credential_sha256: abc
extra: 1
`,
  "repeated account and credential, and a bad name": `customers:
  ${CUSTOMER}
  ${CUSTOMER}
  - {account: "a\\nb", plan: b, credential_sha256: "${"1".repeat(64)}"}
`,
  "a key that would drive a terminal": 'customers: []\n"\\e[2Jx": 1\n',
  "an alias bomb": `a: &a [x,x,x,x,x,x,x,x,x]
b: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]
c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]
d: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]
customers: *d
`,
  "too deep in brackets": "[".repeat(900_000),
  "too deep in list marks": "- ".repeat(400_000),
  "a megabyte": `customers: [] #${"x".repeat(MAXIMUM_TEXT_LENGTH)}`,
};

const PLANS = `plans:
  - plan: bench
    services: summarizer
    priority: 10
    requests_per_second: -1
    tokens_per_minute: many
    requests_in_flight: 1.5
    deadline: 30
  - plan: bench
    services: []
    priority: 1
    requests_per_second: 1
    tokens_per_minute: 1
    requests_in_flight: 1
    deadline: 0s
`;

const SETTINGS = `daemon:
  name: entry-a1
  zone: vn-north-a
  callers: localhost:80
  peers: 0.0.0.0:7400
  operations: 0.0.0.0:9100
  colour: red
platform:
  address: 10.0.0.2
services:
  summarizer:
    kind: engin
    operations: {}
groups:
  lease: 5
  freshness: 2 seconds
  replace_after: 40d
polling:
  targets: 0ms
`;

function formatFindings(result: {
  isErr(): boolean;
  error?: readonly IFinding[];
}): string {
  const findings = result.isErr() ? (result.error ?? []) : [];
  return findings.map(formatFinding).join("\n");
}

describe("findings", () => {
  for (const [name, text] of Object.entries(LISTS)) {
    it(`says what is wrong with a list: ${name}`, () => {
      expect(
        formatFindings(checkCustomers("customers.yaml", text)),
      ).toMatchSnapshot();
    });
  }

  it("reports everything wrong with plans together", () => {
    expect(formatFindings(checkPlans("plans.yaml", PLANS))).toMatchSnapshot();
  });

  it("reports everything wrong with settings together", () => {
    expect(
      formatFindings(checkSettings("entry.yaml", SETTINGS)),
    ).toMatchSnapshot();
  });

  it("counts findings past a bound instead of telling them", () => {
    const text = `customers:\n${"  - {}\n".repeat(1_000)}`;
    const lines = formatFindings(checkCustomers("c.yaml", text)).split("\n");
    expect(lines).to.have.length(501);
    expect(lines.at(-1)).to.equal("c.yaml:1:1: and 2500 more findings");
  });
});
