/** Load through separate processes, checked by replies and engine records. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { IEngineLogEntry } from "../src/stand_ins/engine_member/types.ts";
import { sendCall } from "./support/caller.ts";
import type { IReply } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "mx-bajio-a";
const DAEMON = `daemon-${ZONE}-0`;
const FLOOD_CALLERS = 150;
const STEADY_CALLS = 4;
const TOKENS = 40;

/** Two plans with equal limits, so only fairness separates the accounts. */
const PLANS = ["bench", "clinics"]
  .map((plan) =>
    [
      `  - plan: ${plan}`,
      "    services: [horma-llm]",
      "    priority: 5",
      "    requests_per_second: 1000",
      "    tokens_per_minute: 10000000",
      "    requests_in_flight: 1000",
      "    deadline: 8s",
    ].join("\n"),
  )
  .join("\n");

/** Applies the plans and waits until they are in force at the daemon. */
async function applyPlans(deployment: Deployment): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "cranberryledge-plans-"));
  const file = join(folder, "plans.yaml");
  writeFileSync(file, `plans:\n${PLANS}\n`);
  const version = async () => {
    const { lists } = await deployment.status(DAEMON);
    return lists.find(({ list }) => list === "plans")?.version ?? 0;
  };
  const before = await version();
  const applied = await deployment.runCommandLine(
    ...["apply", "plans", file, "--edited-from", String(before)],
    ...["--platform", deployment.platformAddress],
  );
  rmSync(folder, { recursive: true });
  expect(applied.code, applied.output).to.equal(0);
  await waitFor("the plans are in force", async () => {
    return (await version()) > before;
  });
}

describe("load in real processes", () => {
  // Guards against one account's flood that starves another account with the
  // same limits: 150 concurrent callers retry as soon as they may, far more
  // than the one replica group can serve in time, while a steady caller sends a
  // few calls.
  it("serves one account while another floods", async () => {
    await using deployment = await Deployment.start({
      example: "hormas",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 4,
      plainService: "taller-app",
    });
    await applyPlans(deployment);
    const address = deployment.process(DAEMON).listeningField("callers");
    const send = (credential: string, requestId: string): Promise<IReply> =>
      sendCall({
        address,
        credential,
        requestId,
        operation: "horma-llm/specification",
        body: { prompt: `foot ${requestId}`, maximum_tokens: TOKENS },
      });

    const replies: IReply[] = [];
    let isSteadyDone = false;
    const flood = Array.from({ length: FLOOD_CALLERS }, async (_, caller) => {
      for (let index = 0; !isSteadyDone; index++) {
        const reply = await send("clinic-secret", `flood-${caller}-${index}`);
        replies.push(reply);
        await sleep(reply.body.retry_after_ms ?? 0);
      }
    });
    await waitFor("more calls are in flight than can run", async () => {
      const status = (await deployment.status(DAEMON)) as unknown;
      return (status as { in_flight: number }).in_flight > FLOOD_CALLERS / 2;
    });
    for (let index = 0; index < STEADY_CALLS; index++) {
      const reply = await send("fitter-bench-secret", `steady-${index}`);
      expect(reply.body.outcome, JSON.stringify(reply)).to.equal("completed");
    }
    isSteadyDone = true;
    await Promise.all(flood);

    const refused = replies.filter(({ body }) => body.outcome === "not_run");
    expect(refused).to.have.length.above(0).and.below(replies.length);
    const begunRequests = new Set<string>();
    for (const engine of deployment.processNames("engine-")) {
      const { deeds: entries } = await deployment.fetchRecord<{
        deeds: IEngineLogEntry[];
      }>(engine);
      entries
        .filter(({ kind }) => kind === "began")
        .forEach(({ requestId }) => begunRequests.add(requestId));
    }
    for (const { body } of refused) {
      expect(body.retry_after_ms, body.reason).to.be.above(0);
      expect(begunRequests.has(body.request_id), body.request_id).to.equal(
        false,
      );
    }
  });
});
