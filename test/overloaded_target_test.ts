/**
 * Guards against calls sent to a target that has rejected one and named a time
 * for which it wants no more, and against callers that wait in vain for it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { CallFault } from "../src/stand_ins/plain_service/call_fault_injector.ts";
import { StreamFault } from "../src/stand_ins/engine_member/stream_fault_injector.ts";
import type { IEngineLogEntry } from "../src/stand_ins/engine_member/types.ts";
import { OVERLOAD_RETRY_AFTER } from "../src/stand_ins/shared/json_server.ts";
import { longBrief, sendCall } from "./support/caller.ts";
import type { IReply } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { RetryAfterRule } from "./support/retry_after_rule.ts";

const ZONE = "vn-north-a";
const DAEMON = `daemon-${ZONE}-0`;
const SERVICE = `service-${ZONE}`;

const RETRY_AFTER = OVERLOAD_RETRY_AFTER * 1_000;

/** Calls sent while a target is overloaded, and milliseconds between them. */
const CALLS = 30;
const CALL_PERIOD = 100;

/** Milliseconds after which an answer does not count as given at once. */
const AT_ONCE = 1_000;

/** What breaks the rule, by the times at which a target rejected calls. */
function violationsOf(times: readonly number[]): readonly string[] {
  let now = 0;
  const rule = new RetryAfterRule({ now: () => now });
  for (const time of [...times].sort((one, other) => one - other)) {
    now = time;
    rule.recordArrival("daemon", "target");
    rule.recordRejection("daemon", "target", RETRY_AFTER);
  }
  return rule.violations;
}

describe("an overloaded target", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 8,
      plainService: "delivery-api",
      engineArguments: ["--token-time", "10", "--batch-time", "0"],
    });
  });

  after(() => deployment[Symbol.asyncDispose]());

  function plainCall(operation: string, key?: string): Promise<IReply> {
    return sendCall({
      address: deployment.process(DAEMON).listeningField("callers"),
      credential: "subscriber-app-secret",
      operation: `delivery-api/${operation}`,
      body: { item: key ?? "" },
      ...(key === undefined ? {} : { key }),
    });
  }

  for (const operation of ["feed", "publish"]) {
    it(`of a plain service gets no calls of ${operation}`, async () => {
      await deployment.setFault(SERVICE, CallFault.Overload);
      const replies: { readonly reply: IReply; readonly took: number }[] = [];
      const calls: Promise<void>[] = [];
      for (let count = 0; count < CALLS; count += 1) {
        const key = operation === "publish" ? `item-${count}` : undefined;
        const sentAt = performance.now();
        const call = plainCall(operation, key).then((reply) => {
          replies.push({ reply, took: performance.now() - sentAt });
        });
        calls.push(call);
        await sleep(CALL_PERIOD);
      }
      await Promise.all(calls);
      const { rejections } = await deployment.fetchRecord<{
        rejections: readonly number[];
      }>(SERVICE);
      await deployment.setFault(SERVICE, CallFault.None);
      await sleep(RETRY_AFTER);
      expect(rejections).to.not.have.length(0);
      expect(violationsOf(rejections)).to.deep.equal([]);
      for (const { reply, took } of replies) {
        const { outcome, retry_after_ms: retryAfter = 0 } = reply.body;
        expect(outcome).to.equal("not_run");
        expect(retryAfter).to.be.within(1, RETRY_AFTER + 1_000);
        expect(took).to.be.lessThan(AT_ONCE);
      }
    });
  }

  it("that heads a group gets no streams, and the others get them", async () => {
    const { groups } = await deployment.status(DAEMON);
    const leader = groups[0]?.members[0] ?? "";
    await deployment.setFault(leader, StreamFault.Overload);
    const address = deployment.process(DAEMON).listeningField("callers");
    const calls: Promise<IReply>[] = [];
    for (let count = 0; count < CALLS; count += 1) {
      const call = longBrief(address, { id: `overload-${count}`, tokens: 5 });
      calls.push(sendCall({ ...call, operation: "summarizer/headline" }));
      await sleep(CALL_PERIOD);
    }
    const replies = await Promise.all(calls);
    const { deeds } = await deployment.fetchRecord<{
      deeds: readonly IEngineLogEntry[];
    }>(leader);
    await deployment.setFault(leader, StreamFault.None);
    const rejections = deeds
      .filter(({ kind }) => kind === "rejected")
      .map(({ at }) => at);
    expect(rejections).to.not.have.length(0);
    expect(violationsOf(rejections)).to.deep.equal([]);
    const outcomes = new Set(replies.map(({ body }) => body.outcome));
    expect([...outcomes]).to.deep.equal(["completed"]);
  });
});
