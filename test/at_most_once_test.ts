/**
 * Guards against a non-repeatable call that runs twice for its Idempotency-Key
 * when a process or connection fails. Checked against the runs that the plain
 * services record in files, which outlive them; an answer of "not run" is valid
 * only if they show no run.
 */
import { expect } from "chai";
import { request } from "undici";
import { runRecordLocation } from "../src/common/runs/run_record_location.ts";
import {
  LinkMode,
  RequestFault,
} from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { CallFault } from "../src/stand_ins/plain_service/call_fault_injector.ts";
import { sendCall } from "./support/caller.ts";
import type { IReply } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE_A = "vn-north-a";
const ZONE_B = "vn-north-b";
const DAEMON_A = `daemon-${ZONE_A}-0`;
const SERVICE_A = `service-${ZONE_A}`;
const LINK_A = `platform<${DAEMON_A}`;
const ACCOUNT = "subscriber-app";
const RECORD_WRITE = "PUT /objects/runs";

type Reply = IReply["body"];

interface IServiceRecord {
  readonly runs: readonly { readonly body: { readonly item: string } }[];
  readonly paused: number;
}

describe("a call that may not be repeated", () => {
  let deployment: Deployment;
  let key = "";

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE_A, ZONE_B],
      daemonsPerZone: 1,
      enginesPerZone: 0,
      plainService: "delivery-api",
    });
    await waitUntilBothServe();
  });

  after(() => deployment[Symbol.asyncDispose]());

  beforeEach(function () {
    key = `item ${this.currentTest?.title}`;
  });

  afterEach(async () => {
    deployment.link(LINK_A).setMode(LinkMode.Pass);
    if (deployment.process(SERVICE_A).hasExited) {
      await deployment.startService(SERVICE_A, ZONE_A);
    }
    if (deployment.process(DAEMON_A).hasExited) {
      await deployment.startDaemon(DAEMON_A, ZONE_A);
    }
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitUntilBothServe();
  });

  /** Counts the runs of the call with this test's key at all services. */
  async function countRuns(): Promise<number> {
    let count = 0;
    for (const service of deployment.processNames("service-")) {
      const record = await deployment.fetchRecord<IServiceRecord>(service);
      count += record.runs.filter(({ body }) => body.item === key).length;
    }
    return count;
  }

  async function publish(
    zone: string,
    more: { signal?: AbortSignal; pad?: number; other?: boolean } = {},
  ): Promise<Reply> {
    const body = { item: key, pad: more.pad, other: more.other };
    const reply = await sendCall({
      address: deployment.process(`daemon-${zone}-0`).listeningField("callers"),
      credential: "subscriber-app-secret",
      operation: "delivery-api/publish",
      body,
      key,
      signal: more.signal,
    });
    if (reply.body.outcome === "not_run" && !more.other) {
      expect(await countRuns(), "runs after outcome not_run").to.equal(0);
    }
    return reply.body;
  }

  /** Sends a call whose connection the test breaks. */
  function publishInterrupted(
    signal?: AbortSignal,
  ): Promise<Reply | "cut off"> {
    return publish(ZONE_A, { signal }).catch(() => "cut off" as const);
  }

  async function waitUntilBothServe(): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitFor(`${daemon} serves the feed`, async () => {
        const reply = await sendCall({
          address: deployment.process(daemon).listeningField("callers"),
          credential: "subscriber-app-secret",
          operation: "delivery-api/feed",
          body: {},
        });
        return reply.body.outcome === "completed";
      });
    }
  }

  async function recordExists(): Promise<boolean> {
    const operation = "delivery-api/publish";
    const { kind, name } = runRecordLocation({
      account: ACCOUNT,
      operation,
      key,
    });
    const path = `/objects/${kind}/${encodeURIComponent(name)}`;
    const answer = await request(`http://${deployment.platformAddress}${path}`);
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  function waitForPausedCall(): Promise<void> {
    return waitFor("a call is paused at the service", async () => {
      const { paused } =
        await deployment.fetchRecord<IServiceRecord>(SERVICE_A);
      return paused === 1;
    });
  }

  // The daemon dies while its write of the run record is in flight; the caller
  // repeats the call in another zone.
  it("runs once if the daemon dies before its record is made", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    const first = publishInterrupted();
    await waitFor(
      "the record's write is in flight",
      () => !link.hasPendingFault,
    );
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    const second = await publish(ZONE_B);
    expect(second.outcome).to.equal("completed");
    link.releaseHeld();
    expect((await publish(ZONE_B)).answer).to.deep.equal(second.answer);
    expect(await countRuns()).to.equal(1);
  });

  // The platform has stored the record, and the daemon dies before it calls
  // the service: whether it had called can no longer be determined.
  it("does not run again if the daemon dies after the record", async () => {
    deployment.link(LINK_A).setMode(LinkMode.DropAnswers);
    const first = publishInterrupted();
    await waitFor("the record exists", recordExists);
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    expect(await countRuns()).to.equal(0);
  });

  // The daemon dies while the service works on the call; the service finishes
  // it, but nobody receives the answer.
  it("does not run again if the daemon dies while it runs", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseBeforeRun);
    const first = publishInterrupted();
    await waitForPausedCall();
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor("the call has run", async () => (await countRuns()) === 1);
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    expect(await countRuns()).to.equal(1);
  });

  // The service has answered, and the daemon dies before the outcome is
  // recorded.
  it("does not run again if the daemon dies before the finish", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseAfterRun);
    const first = publishInterrupted();
    await waitForPausedCall();
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor(
      "the outcome's write is in flight",
      () => !link.hasPendingFault,
    );
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    link.releaseHeld();
    await waitFor("the late outcome is recorded", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await countRuns()).to.equal(1);
  });

  // The platform stores the record, but its response is lost. Unless it reads
  // the record back, the daemon treats its own record as another caller's.
  it("runs once if the answer of the record's write is lost", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.LoseAnswer);
    const first = await publish(ZONE_A);
    expect(first.outcome).to.equal("completed");
    expect((await publish(ZONE_B)).answer).to.deep.equal(first.answer);
    expect(await countRuns()).to.equal(1);
  });

  // The record is stored, but the platform stops answering before the daemon
  // can read it back. The caller gets "not run" and retries: the orphaned
  // record must not block its key.
  it("frees the key of a try that it answered as not run", async () => {
    deployment.link(LINK_A).setMode(LinkMode.DropAnswers);
    const first = await publish(ZONE_A);
    expect(first.outcome).to.equal("not_run");
    expect(await recordExists()).to.equal(true);
    deployment.link(LINK_A).setMode(LinkMode.Pass);
    await waitFor("the key is free again", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await countRuns()).to.equal(1);
  });

  // The write of the record is delayed in the network and arrives after the
  // repeated call has run in another zone.
  it("runs once if a delayed record arrives after a repeat", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    const first = publish(ZONE_A);
    await waitFor(
      "the record's write is in flight",
      () => !link.hasPendingFault,
    );
    const second = await publish(ZONE_B);
    expect(second.outcome).to.equal("completed");
    link.releaseHeld();
    expect((await first).answer).to.deep.equal(second.answer);
    expect(await countRuns()).to.equal(1);
  });

  // A caller sends the same key through two zones concurrently.
  it("runs once if the key is sent through two zones at once", async () => {
    const zones = [ZONE_A, ZONE_B, ZONE_A, ZONE_B, ZONE_A, ZONE_B];
    const replies = await Promise.all(zones.map((zone) => publish(zone)));
    for (const { outcome, reason } of replies) {
      const isRight = outcome === "completed" || reason === "in_progress";
      expect(isRight, `${outcome} ${reason}`).to.equal(true);
    }
    await waitFor("the answer is recorded", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await countRuns()).to.equal(1);
  });

  // A caller disconnects while its call runs and repeats it in another zone: it
  // must get the answer of the first run.
  it("keeps the answer of a caller that was cut off", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseBeforeRun);
    const callerAbort = new AbortController();
    const first = publishInterrupted(callerAbort.signal);
    await waitForPausedCall();
    callerAbort.abort();
    expect(await first).to.equal("cut off");
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor("the answer is recorded", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await countRuns()).to.equal(1);
  });

  const LOSSES = [
    // The service dies after it received the call, before it runs it.
    { fault: CallFault.CrashBeforeRun, when: "dies before acting", count: 0 },
    // It dies after the run, before it answers.
    { fault: CallFault.CrashAfterRun, when: "dies after acting", count: 1 },
    // Its connection breaks after the run.
    { fault: CallFault.LoseAnswer, when: "loses its answer", count: 1 },
    // Its answer names another request, so it belongs to an unknown call.
    { fault: CallFault.ForeignAnswer, when: "crosses answers", count: 1 },
  ];
  for (const { fault, when, count } of LOSSES) {
    it(`says unknown and runs no more if the target ${when}`, async () => {
      await deployment.setFault(SERVICE_A, fault);
      const first = await publish(ZONE_A);
      expect(first.outcome).to.equal("unknown");
      const second = await publish(ZONE_B);
      expect(second).to.include({
        outcome: "unknown",
        reason: "outcome_unknown",
      });
      if (deployment.process(SERVICE_A).hasExited) {
        await deployment.startService(SERVICE_A, ZONE_A);
      }
      expect(await countRuns()).to.equal(count);
    });
  }

  // The target refuses the call because it is leaving, before its reports show
  // that.
  it("says not run if the target refuses, and runs the repeat", async () => {
    await deployment.setFault(SERVICE_A, CallFault.Refuse);
    const first = await publish(ZONE_A);
    expect(first).to.include({ outcome: "not_run", reason: "target_refused" });
    expect((await publish(ZONE_B)).outcome).to.equal("completed");
    expect(await countRuns()).to.equal(1);
  });

  // The platform is down, so no run record can be created.
  it("says not run at once while the platform is down", async () => {
    deployment.link(LINK_A).setMode(LinkMode.Cut);
    const first = await publish(ZONE_A);
    expect(first).to.include({
      outcome: "not_run",
      reason: "platform_unavailable",
    });
    expect(first.retry_after_ms).to.be.greaterThan(0);
    expect((await publish(ZONE_B)).outcome).to.equal("completed");
    expect(await countRuns()).to.equal(1);
  });

  // The platform goes down while the service works. The caller still gets its
  // answer; a repeat gets it once the platform is back.
  it("records the answer when the platform is back", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseAfterRun);
    const first = publish(ZONE_A);
    await waitForPausedCall();
    deployment.link(LINK_A).setMode(LinkMode.Cut);
    await deployment.setFault(SERVICE_A, CallFault.None);
    const { answer, outcome } = await first;
    expect(outcome).to.equal("completed");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    deployment.link(LINK_A).setMode(LinkMode.Pass);
    await waitFor("the answer is recorded", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect((await publish(ZONE_B)).answer).to.deep.equal(answer);
    expect(await countRuns()).to.equal(1);
  });

  // An answer too large for the platform is recorded as a digest.
  it("says so if the recorded answer was too large to keep", async () => {
    const pad = 1_100_000;
    const first = await publish(ZONE_A, { pad });
    expect(first.answer).to.have.property("padding").with.length(pad);
    const second = await publish(ZONE_B, { pad });
    expect(second.outcome).to.equal("completed");
    expect(second.answer).to.equal(null);
    expect(second.answer_omitted?.bytes).to.be.greaterThan(pad);
    expect(await countRuns()).to.equal(1);
  });

  // A caller reuses a key for another body; another account uses the same key.
  it("keeps keys apart by account and refuses another body", async () => {
    await publish(ZONE_A);
    const reused = await publish(ZONE_B, { other: true });
    expect(reused).to.include({
      outcome: "not_run",
      reason: "idempotency_key_reused",
    });
    const { body } = await sendCall({
      address: deployment.process(DAEMON_A).listeningField("callers"),
      credential: "editor-desk-secret",
      operation: "delivery-api/publish",
      body: { item: "the editor desk's" },
      key,
    });
    expect(body.outcome).to.equal("completed");
    expect(await countRuns()).to.equal(1);
  });
});
