/**
 * A call that may not be repeated runs at most once for its Idempotency-Key,
 * whatever fails on its way. Judged by what the plain services recorded, in
 * files that outlive them; "not run" is accepted only while they show no run.
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
    await bothServe();
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
    await bothServe();
  });

  /** How often the call with this test's key has run anywhere. */
  async function runs(): Promise<number> {
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
      expect(await runs(), "runs where told not run").to.equal(0);
    }
    return reply.body;
  }

  /** Calls that are cut off: the caller sees a broken connection. */
  function publishCutOff(signal?: AbortSignal): Promise<Reply | "cut off"> {
    return publish(ZONE_A, { signal }).catch(() => "cut off" as const);
  }

  async function bothServe(): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitFor(`${daemon} reads the feed`, async () => {
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

  async function recordStands(): Promise<boolean> {
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

  function pausedAtService(): Promise<void> {
    return waitFor("a call waits at the service", async () => {
      const { paused } =
        await deployment.fetchRecord<IServiceRecord>(SERVICE_A);
      return paused === 1;
    });
  }

  // The entry instance is replaced just as it asks for the right to run; the
  // caller's connection breaks, and it repeats the call in another zone.
  it("runs once if the daemon dies before its record is made", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    const first = publishCutOff();
    await waitFor(
      "the record's write is under way",
      () => !link.hasPendingFault,
    );
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    const second = await publish(ZONE_B);
    expect(second.outcome).to.equal("completed");
    link.releaseHeld();
    expect((await publish(ZONE_B)).answer).to.deep.equal(second.answer);
    expect(await runs()).to.equal(1);
  });

  // The platform has taken the record, and the daemon dies before it calls
  // the service: nobody can tell any more whether it had called.
  it("does not run again if the daemon dies after the record", async () => {
    deployment.link(LINK_A).setMode(LinkMode.DropAnswers);
    const first = publishCutOff();
    await waitFor("the record stands", recordStands);
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    expect(await runs()).to.equal(0);
  });

  // The daemon dies while the service works on the call; the work goes on
  // with nobody to hear of it.
  it("does not run again if the daemon dies while it runs", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseBeforeRun);
    const first = publishCutOff();
    await pausedAtService();
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor("the service has acted", async () => (await runs()) === 1);
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    expect(await runs()).to.equal(1);
  });

  // The service has answered, and the daemon dies before it has recorded how
  // the call ended.
  it("does not run again if the daemon dies before the finish", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseAfterRun);
    const first = publishCutOff();
    await pausedAtService();
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor("the finish is under way", () => !link.hasPendingFault);
    await deployment.kill(DAEMON_A);
    expect(await first).to.equal("cut off");
    expect((await publish(ZONE_B)).outcome).to.equal("unknown");
    link.releaseHeld();
    await waitFor("the late finish counts", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await runs()).to.equal(1);
  });

  // The platform takes the record and its answer is lost on the way. Without
  // reading back, the daemon would take its own record for another's.
  it("runs once if the answer of the record's write is lost", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.LoseAnswer);
    const first = await publish(ZONE_A);
    expect(first.outcome).to.equal("completed");
    expect((await publish(ZONE_B)).answer).to.deep.equal(first.answer);
    expect(await runs()).to.equal(1);
  });

  // The record is taken, and the platform falls silent before the daemon can
  // read it back. The caller is told "not run" and comes back: its key must
  // not stay blocked by a record that nobody runs.
  it("frees the key of a try that it answered as not run", async () => {
    deployment.link(LINK_A).setMode(LinkMode.DropAnswers);
    const first = await publish(ZONE_A);
    expect(first.outcome).to.equal("not_run");
    expect(await recordStands()).to.equal(true);
    deployment.link(LINK_A).setMode(LinkMode.Pass);
    await waitFor("the key is free again", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await runs()).to.equal(1);
  });

  // The write of the record is delayed in the network, and arrives after the
  // caller was told "not run" and has had its call run elsewhere.
  it("runs once if a delayed record arrives after a repeat", async () => {
    const link = deployment.link(LINK_A);
    link.failNext(RECORD_WRITE, RequestFault.Hold);
    const first = publish(ZONE_A);
    await waitFor(
      "the record's write is under way",
      () => !link.hasPendingFault,
    );
    const second = await publish(ZONE_B);
    expect(second.outcome).to.equal("completed");
    link.releaseHeld();
    expect((await first).answer).to.deep.equal(second.answer);
    expect(await runs()).to.equal(1);
  });

  // An impatient caller sends the same key through two zones at once.
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
    expect(await runs()).to.equal(1);
  });

  // A caller on a poor connection drops off while its order is worked on, and
  // repeats it in another zone: it must get the answer of the one run.
  it("keeps the answer of a caller that was cut off", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseBeforeRun);
    const leaving = new AbortController();
    const first = publishCutOff(leaving.signal);
    await pausedAtService();
    leaving.abort();
    expect(await first).to.equal("cut off");
    await deployment.setFault(SERVICE_A, CallFault.None);
    await waitFor("the answer is recorded", async () => {
      return (await publish(ZONE_B)).outcome === "completed";
    });
    expect(await runs()).to.equal(1);
  });

  const LOSSES = [
    // The service dies with the call in hand, before it has done anything.
    { fault: CallFault.CrashBeforeRun, when: "dies before acting", count: 0 },
    // It dies when all is done but the answer.
    { fault: CallFault.CrashAfterRun, when: "dies after acting", count: 1 },
    // Its connection breaks after it has acted.
    { fault: CallFault.LoseAnswer, when: "loses its answer", count: 1 },
    // Its answer names another request: whose it is, nobody can tell.
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
      expect(await runs()).to.equal(count);
    });
  }

  // The target turns the call down because it is leaving, before its reports
  // say so.
  it("says not run if the target refuses, and runs the repeat", async () => {
    await deployment.setFault(SERVICE_A, CallFault.Refuse);
    const first = await publish(ZONE_A);
    expect(first).to.include({ outcome: "not_run", reason: "target_refused" });
    expect((await publish(ZONE_B)).outcome).to.equal("completed");
    expect(await runs()).to.equal(1);
  });

  // The platform is down: nobody can be given the right to run.
  it("says not run at once while the platform is down", async () => {
    deployment.link(LINK_A).setMode(LinkMode.Cut);
    const first = await publish(ZONE_A);
    expect(first).to.include({
      outcome: "not_run",
      reason: "platform_unavailable",
    });
    expect(first.retry_after_ms).to.be.greaterThan(0);
    expect((await publish(ZONE_B)).outcome).to.equal("completed");
    expect(await runs()).to.equal(1);
  });

  // The platform goes down while the service works. The caller has its answer
  // all the same, and once the platform is back so has whoever repeats.
  it("records the answer when the platform is back", async () => {
    await deployment.setFault(SERVICE_A, CallFault.PauseAfterRun);
    const first = publish(ZONE_A);
    await pausedAtService();
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
    expect(await runs()).to.equal(1);
  });

  // An answer that the platform cannot hold is kept as a digest.
  it("says so if the recorded answer was too large to keep", async () => {
    const pad = 1_100_000;
    const first = await publish(ZONE_A, { pad });
    expect(first.answer).to.have.property("padding").with.length(pad);
    const second = await publish(ZONE_B, { pad });
    expect(second.outcome).to.equal("completed");
    expect(second.answer).to.equal(null);
    expect(second.answer_omitted?.bytes).to.be.greaterThan(pad);
    expect(await runs()).to.equal(1);
  });

  // A program reuses a key by mistake; another account has the same key.
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
    expect(await runs()).to.equal(1);
  });
});
