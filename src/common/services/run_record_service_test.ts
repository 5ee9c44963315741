/**
 * Several daemons race for one key over a store that loses answers and
 * delays writes, in every order that the scheduler finds.
 */
import { expect } from "chai";
import fc from "fast-check";
import type { Scheduler } from "fast-check";
import { Err, None, Ok, Some } from "ts-results-es";
import { ObjectStore } from "../../stand_ins/object_api/object_store.ts";
import { RunState } from "../runs/run_record.ts";
import { CallFailureKind } from "../types.ts";
import { RunRecordService } from "./run_record_service.ts";
import { WriteFailureKind } from "./services.ts";
import type { IPlatform } from "./services.ts";

const SEED = 20_261_202;
const SCHEDULES = 3_000;

const RUN = { account: "desk", operation: "delivery-api/publish", key: "k" };

/** What happens to one call of the store. */
enum Fault {
  None = "none",
  /** Nothing is applied, and this is known. */
  NotApplied = "not_applied",
  /** It is applied, and the answer is lost. */
  LostAnswer = "lost_answer",
  /** It is given up on, and is applied later or never before the end. */
  Late = "late",
}

/** How a run that got its permit ends. */
type Ending = RunState;

const NO_LOG = { info: () => {}, warn: () => {}, error: () => {} };
const NO_METRICS = { count: () => {}, observe: () => {}, gauge: () => {} };

/** A platform whose every step waits for its turn in the schedule. */
class ScheduledPlatform {
  readonly #store = new ObjectStore();
  readonly #scheduler: Scheduler;
  readonly #faults: Fault[];

  constructor(scheduler: Scheduler, faults: readonly Fault[]) {
    this.#scheduler = scheduler;
    this.#faults = [...faults];
  }

  /** No call meets a fault from now on. */
  heal(): void {
    this.#faults.length = 0;
  }

  get port(): IPlatform {
    const { read, write } = this;
    return { read, write } as unknown as IPlatform;
  }

  read: IPlatform["read"] = async (kind, name) => {
    const fault = this.#faults.shift() ?? Fault.None;
    await this.#turn(`read`);
    const object = this.#store.read(kind, name);
    await this.#turn(`read answered ${fault}`);
    if (fault !== Fault.None) {
      return Err({ kind: CallFailureKind.Unknown, detail: fault });
    }
    return Ok(object === null ? None : Some(object));
  };

  write: IPlatform["write"] = async (write) => {
    const fault = this.#faults.shift() ?? Fault.None;
    if (fault === Fault.Late) {
      void this.#turn("late write").then(() => this.#apply(write));
      await this.#turn("write given up");
      return Err({ kind: WriteFailureKind.Unknown, detail: fault });
    }
    await this.#turn("write");
    if (fault === Fault.NotApplied) {
      return Err({ kind: WriteFailureKind.NotApplied, detail: fault });
    }
    const written = this.#apply(write);
    await this.#turn("write answered");
    if (fault === Fault.LostAnswer) {
      return Err({ kind: WriteFailureKind.Unknown, detail: fault });
    }
    return written.kind === "written"
      ? Ok(written.version)
      : Err({ kind: WriteFailureKind.Conflict, detail: "" });
  };

  #apply({ expectedVersion, ...object }: Parameters<IPlatform["write"]>[0]) {
    return this.#store.write(object, expectedVersion);
  }

  #turn(label: string): Promise<void> {
    return this.#scheduler.schedule(Promise.resolve(), label);
  }
}

/** One daemon's record service on the shared store. */
function serviceOn(
  platform: ScheduledPlatform,
  scheduler: Scheduler,
  daemon: number,
): RunRecordService {
  let attempts = 0;
  return new RunRecordService({
    platform: platform.port,
    clock: {
      now: () => 0,
      calendar: () => 0,
      after: (_, callback) => {
        void scheduler.schedule(Promise.resolve(), "timer").then(callback);
        return { dispose: () => {} };
      },
      every: () => ({ dispose: () => {} }),
    },
    random: { next: () => 0, identifier: () => `${daemon}-${attempts++}` },
    log: NO_LOG,
    metrics: NO_METRICS,
    digest: (text) => text,
  });
}

const request = { bodyDigest: "d", requestId: "r", openFor: 1_000 };

/** What came of all tries at the key. */
class Tally {
  acted = 0;
  permits = 0;
  crashed = 0;
  answers = new Set<unknown>();
}

async function tryOnce(
  service: RunRecordService,
  ending: Ending,
  tally: Tally,
): Promise<void> {
  const start = await service.begin(RUN, request);
  if (start.isErr()) {
    return;
  }
  if (start.value.kind === "recorded") {
    tally.answers.add(start.value.answer);
    return;
  }
  tally.permits += 1;
  tally.acted += ending === RunState.NotRun ? 0 : 1;
  if (ending === RunState.Open) {
    tally.crashed += 1;
    return;
  }
  const answer = ending === RunState.Completed ? tally.permits : null;
  await service.finish(start.value.permit, ending, answer);
}

const faults = fc.array(
  fc.constantFrom(Fault.None, Fault.None, ...Object.values(Fault)),
  { maxLength: 16 },
);
/** A run left open is one whose daemon died. */
const endings = fc.array(fc.constantFrom(...Object.values(RunState)), {
  minLength: 2,
  maxLength: 6,
});

describe("rights to run under one key", () => {
  it(`go to at most one try that acts (seed ${SEED})`, async () => {
    const property = fc.asyncProperty(
      fc.scheduler(),
      faults,
      endings,
      async (scheduler, planned, ends) => {
        const platform = new ScheduledPlatform(scheduler, planned);
        const tally = new Tally();
        const tries = ends.map((ending, index) => {
          const daemon = index % 3;
          const service = serviceOn(platform, scheduler, index * 10 + daemon);
          return tryOnce(service, ending, tally);
        });
        await scheduler.waitFor(Promise.all(tries));
        expect(tally.acted).to.be.at.most(1);
        expect(tally.answers.size).to.be.at.most(1);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: SCHEDULES });
  });

  // Without withdrawal a key would stay blocked by a try that never ran.
  it(`are free again when no try has acted (seed ${SEED})`, async () => {
    const property = fc.asyncProperty(
      fc.scheduler(),
      faults,
      async (scheduler, planned) => {
        const platform = new ScheduledPlatform(scheduler, planned);
        const tally = new Tally();
        const tries = [1, 2, 3].map((daemon) => {
          const service = serviceOn(platform, scheduler, daemon);
          return tryOnce(service, RunState.NotRun, tally);
        });
        await scheduler.waitFor(Promise.all(tries));
        await scheduler.waitIdle();
        platform.heal();
        const last = serviceOn(platform, scheduler, 9);
        const asked = last.begin(RUN, request);
        const start = await scheduler.waitFor(asked);
        expect(start.isOk() && start.value.kind).to.equal("run");
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: SCHEDULES });
  });
});
