/** Daemons started while platform, peers or both are out of reach or stale. */
import { createHash } from "node:crypto";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import type { IDaemonStatus } from "../src/common/services/daemon_status.ts";
import { sendCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { Operator } from "./support/operator.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const FIRST = `daemon-${ZONE}-0`;
const LATE = "daemon-late";

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
    await deployment.startDaemon(LATE, ZONE);
  });

  beforeEach(async () => {
    await deployment.process(LATE)[Symbol.asyncDispose]();
  });

  afterEach(async () => {
    await operator.setFaults({ stale: { plan_lists: null } });
    for (const daemon of [FIRST, LATE]) {
      deployment.link(`platform<${daemon}`).setMode(LinkMode.Pass);
      deployment.link(`peers>${daemon}`).setMode(LinkMode.Pass);
    }
  });

  after(async () => {
    await operator[Symbol.asyncDispose]();
    await deployment[Symbol.asyncDispose]();
  });

  async function callAt(daemon: string, credential: string) {
    const address = deployment.process(daemon).listeningField("callers");
    const operation = "delivery-api/feed";
    return sendCall({ address, credential, operation, body: {} });
  }

  function servedAt(daemon: string, credential: string): Promise<void> {
    return waitFor(`${credential} is served at ${daemon}`, async () => {
      return (await callAt(daemon, credential)).status === 200;
    });
  }

  it("takes the newest lists from its peers", async () => {
    // The platform is down while an entry instance is replaced. The new one
    // finds a peer by its settings and must know the customers at once; else
    // each replacement during an outage would turn callers away.
    await operator.putList("customers", customersOnly("newest"));
    await servedAt(FIRST, "newest");
    deployment.link(`platform<${LATE}`).setMode(LinkMode.Cut);
    await deployment.startDaemon(LATE, ZONE);
    await waitFor("the late daemon knows the customer", async () => {
      const { body } = await callAt(LATE, "newest");
      return body.reason === "no_replica_available";
    });
    const { ready } = await deployment.status(LATE);
    expect(ready).to.equal(true);
  });

  it("does not serve by a stale read of the platform", async () => {
    // The platform answers from a copy that lags, and an account was removed
    // since. A daemon that served by that answer would let the account in
    // again, while its neighbours turn it away.
    const stale = await operator.putList("customers", customersOnly("removed"));
    await servedAt(FIRST, "removed");
    await operator.putList("customers", customersOnly("current"));
    await servedAt(FIRST, "current");
    await operator.setFaults({ stale: { plan_lists: stale } });
    await deployment.startDaemon(LATE, ZONE);
    await waitFor("the late daemon serves the current account", async () => {
      const removed = await callAt(LATE, "removed");
      expect(removed.body.reason).to.be.oneOf([
        "plan_lists_unknown",
        "unknown_caller",
      ]);
      return (await callAt(LATE, "current")).status === 200;
    });
  });

  it("says that it knows nothing with no one in reach", async () => {
    // Neither platform nor peers answer. The daemon must not guess: callers
    // are told to come back, operators see why, and it serves once it can.
    await operator.putList("customers", customersOnly("later"));
    await servedAt(FIRST, "later");
    for (const daemon of [FIRST, LATE]) {
      deployment.link(`peers>${daemon}`).setMode(LinkMode.Cut);
    }
    deployment.link(`platform<${LATE}`).setMode(LinkMode.Cut);
    await deployment.startDaemon(LATE, ZONE);
    await waitFor("the late daemon says so", async () => {
      const status: unknown = await deployment.status(LATE);
      const { alarms } = status as IDaemonStatus;
      const names = alarms.map(({ alarm }) => String(alarm));
      return names.includes("plan_lists_unknown");
    });
    const refusal = await callAt(LATE, "later");
    expect(refusal.status).to.equal(503);
    expect(refusal.body).to.include({
      outcome: "not_run",
      reason: "plan_lists_unknown",
    });
    expect(refusal.body.retry_after_ms).to.be.above(0);
    deployment.link(`platform<${LATE}`).setMode(LinkMode.Pass);
    await servedAt(LATE, "later");
  });
});
