/** Daemons started while platform or peers are unreachable or stale. */
import { createHash } from "node:crypto";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import type { IDaemonStatus } from "../src/common/services/daemon_status.ts";
import { sendCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { Operator } from "./support/operator.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const FIRST_DAEMON = `daemon-${ZONE}-0`;
const LATE_DAEMON = "daemon-late";

function customersOnly(secret: string): string {
  const digest = createHash("sha256").update(secret).digest("hex");
  return `customers:
  - account: only
    plan: readers
    credential_sha256: ${digest}
`;
}

describe("a daemon started during an outage", () => {
  let deployment: Deployment;
  let operator: Operator;

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 4,
      plainService: "delivery-api",
    });
    operator = new Operator(deployment.platformAddress);
    await deployment.startDaemon(LATE_DAEMON, ZONE);
  });

  beforeEach(async () => {
    await deployment.process(LATE_DAEMON)[Symbol.asyncDispose]();
  });

  afterEach(async () => {
    await operator.setFaults({ stale: { plan_lists: null } });
    for (const daemon of [FIRST_DAEMON, LATE_DAEMON]) {
      deployment.link(`platform<${daemon}`).setMode(LinkMode.Pass);
      deployment.link(`peers>${daemon}`).setMode(LinkMode.Pass);
    }
  });

  after(async () => {
    await operator[Symbol.asyncDispose]();
    await deployment[Symbol.asyncDispose]();
  });

  async function callFeed(daemon: string, credential: string) {
    const address = deployment.process(daemon).listeningField("callers");
    const operation = "delivery-api/feed";
    return sendCall({ address, credential, operation, body: {} });
  }

  function waitUntilServed(daemon: string, credential: string): Promise<void> {
    return waitFor(`${credential} is served at ${daemon}`, async () => {
      return (await callFeed(daemon, credential)).status === 200;
    });
  }

  it("takes the newest lists from its peers", async () => {
    // Guards against refused callers when an entry instance is replaced during
    // a platform outage: the new daemon must get the lists from a peer in its
    // settings.
    await operator.putList("customers", customersOnly("newest"));
    await waitUntilServed(FIRST_DAEMON, "newest");
    deployment.link(`platform<${LATE_DAEMON}`).setMode(LinkMode.Cut);
    await deployment.startDaemon(LATE_DAEMON, ZONE);
    await waitFor("the late daemon knows the customer", async () => {
      const { body } = await callFeed(LATE_DAEMON, "newest");
      return body.reason === "no_replica_available";
    });
    const { ready } = await deployment.status(LATE_DAEMON);
    expect(ready).to.equal(true);
  });

  it("does not serve by a stale read of the platform", async () => {
    // Guards against an account that is admitted again after its removal: the
    // platform answers from a stale replica that still lists it, while the
    // daemon's peers refuse it.
    const staleVersion = await operator.putList(
      "customers",
      customersOnly("removed"),
    );
    await waitUntilServed(FIRST_DAEMON, "removed");
    await operator.putList("customers", customersOnly("current"));
    await waitUntilServed(FIRST_DAEMON, "current");
    await operator.setFaults({ stale: { plan_lists: staleVersion } });
    await deployment.startDaemon(LATE_DAEMON, ZONE);
    await waitFor("the late daemon serves the current account", async () => {
      const removed = await callFeed(LATE_DAEMON, "removed");
      expect(removed.body.reason).to.be.oneOf([
        "plan_lists_unknown",
        "unknown_caller",
      ]);
      return (await callFeed(LATE_DAEMON, "current")).status === 200;
    });
  });

  it("refuses calls while platform and peers are unreachable", async () => {
    // Guards against calls served, or refused for good, without any list: the
    // daemon must refuse with a retry delay, raise an alarm, and serve once the
    // platform is reachable.
    await operator.putList("customers", customersOnly("later"));
    await waitUntilServed(FIRST_DAEMON, "later");
    for (const daemon of [FIRST_DAEMON, LATE_DAEMON]) {
      deployment.link(`peers>${daemon}`).setMode(LinkMode.Cut);
    }
    deployment.link(`platform<${LATE_DAEMON}`).setMode(LinkMode.Cut);
    await deployment.startDaemon(LATE_DAEMON, ZONE);
    await waitFor("the late daemon raises the alarm", async () => {
      const status: unknown = await deployment.status(LATE_DAEMON);
      const { alarms } = status as IDaemonStatus;
      const names = alarms.map(({ alarm }) => String(alarm));
      return names.includes("plan_lists_unknown");
    });
    const refusal = await callFeed(LATE_DAEMON, "later");
    expect(refusal.status).to.equal(503);
    expect(refusal.body).to.include({
      outcome: "not_run",
      reason: "plan_lists_unknown",
    });
    expect(refusal.body.retry_after_ms).to.be.above(0);
    deployment.link(`platform<${LATE_DAEMON}`).setMode(LinkMode.Pass);
    await waitUntilServed(LATE_DAEMON, "later");
  });
});
