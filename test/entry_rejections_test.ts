/** The entry process, while engines reject calls for a time or leave. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { EntryDeployment } from "./support/entry_deployment.ts";
import type { PlatformEngine } from "./support/platform_engine.ts";
import { waitFor } from "./support/process_handle.ts";

/** Milliseconds between two calls. */
const CALL_PERIOD = 50;

/** Seconds for which an overloaded head wants no calls. */
const RETRY_AFTER = 2;

/** Milliseconds for which the process is stopped. */
const STOP_TIME = 1_000;

/** Sends calls without waiting for their answers. */
function sendCalls(
  platform: EntryDeployment,
  prefix: string,
  count: number,
): readonly Promise<unknown>[] {
  return Array.from({ length: count }, (_, index) =>
    platform.sendCall(`${prefix}-${index}`).catch(() => undefined),
  );
}

/** Sends calls at a steady rate for some milliseconds. */
async function sendFor(
  platform: EntryDeployment,
  prefix: string,
  milliseconds: number,
): Promise<readonly Promise<unknown>[]> {
  const calls: Promise<unknown>[] = [];
  for (let sent = 0; sent < milliseconds / CALL_PERIOD; sent += 1) {
    calls.push(...sendCalls(platform, `${prefix}-${sent}`, 1));
    await sleep(CALL_PERIOD);
  }
  return calls;
}

async function startWithTwoHeads(
  platform: EntryDeployment,
): Promise<PlatformEngine> {
  await platform.start();
  await platform.waitForTwoGroups();
  const head = platform.engines.find(({ runs }) => runs.length > 0);
  if (head === undefined) {
    throw new Error("no engine has run a call");
  }
  return head;
}

describe("the entry process and engines that take no calls", () => {
  // Guards against calls sent within the time that a head names, also when the
  // process was stopped meanwhile and callers' requests have piled up.
  it("sends an overloaded head nothing, also after it was stopped", async () => {
    await using platform = new EntryDeployment();
    const head = await startWithTwoHeads(platform);
    head.retryAfter = RETRY_AFTER;
    const calls = [...(await sendFor(platform, "before", 1_000))];
    platform.entry?.signal("SIGSTOP");
    calls.push(...sendCalls(platform, "stopped", 20));
    await sleep(STOP_TIME);
    platform.entry?.signal("SIGCONT");
    calls.push(...(await sendFor(platform, "after", 4_000)));
    head.retryAfter = null;
    await Promise.all(calls);
    expect(head.rejectionRule.rejections).to.be.greaterThan(1);
    expect(head.rejectionRule.violations).to.deep.equal([]);
  });

  // Guards against calls sent to a head that has said in an answer that it is
  // about to leave, while the platform's list still shows it as ready.
  it("sends a leaving head nothing, also after it was stopped", async () => {
    await using platform = new EntryDeployment();
    const head = await startWithTwoHeads(platform);
    head.isLeaving = true;
    const calls = [...(await sendFor(platform, "before", 500))];
    await waitFor("the process has read it", () => {
      const output = platform.entry?.output ?? "";
      return output.includes("event=target_leaving");
    });
    platform.entry?.signal("SIGSTOP");
    calls.push(...sendCalls(platform, "stopped", 20));
    await sleep(STOP_TIME);
    platform.entry?.signal("SIGCONT");
    calls.push(...(await sendFor(platform, "after", 2_000)));
    await Promise.all(calls);
    const late = head.arrivals.filter((id) => /^(stopped|after)/.test(id));
    expect(late).to.deep.equal([]);
  });
});
