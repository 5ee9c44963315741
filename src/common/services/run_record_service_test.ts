/**
 * Several daemons compete for one key on a store that loses answers and delays
 * writes, in random orders drawn by fast-check's scheduler.
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

/** Fault injected into one call to the store. */
enum Fault {
  None = "none",
  /** The call is not applied, and the caller knows it. */
  NotApplied = "not_applied",
  /** The call is applied, but its answer is lost. */
  LostAnswer = "lost_answer",
  /** The call times out; it is applied later, perhaps after the test. */
  Late = "late",
}

/** How a run that obtained a permit ends. */
type Ending = RunState;

const NO_LOG = { info: () => {}, warn: () => {}, error: () => {} };
const NO_METRICS = { count: () => {}, observe: () => {}, gauge: () => {} };

/** A platform whose every step is ordered by the scheduler. */
class ScheduledPlatform {
  readonly #store = new ObjectStore();
  readonly #scheduler: Scheduler;
  readonly #faults: Fault[];

  constructor(scheduler: Scheduler, faults: readonly Fault[]) {
    this.#scheduler = scheduler;
    this.#faults = [...faults];
  }

  /** Removes the remaining faults. */
  clearFaults(): void {
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
      await this.#turn("write timed out");
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

/** Creates one daemon's record service on the shared store. */
function createService(
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

/** Results of all attempts with the key. */
class Results {
  acted = 0;
  permits = 0;
  crashed = 0;
  answers = new Set<unknown>();
}

async function attemptOnce(
  service: RunRecordService,
  ending: Ending,
  results: Results,
): Promise<void> {
  const start = await service.begin(RUN, request);
  if (start.isErr()) {
    return;
  }
  if (start.value.kind === "recorded") {
    results.answers.add(start.value.answer);
    return;
  }
  results.permits += 1;
  results.acted += ending === RunState.NotRun ? 0 : 1;
  if (ending === RunState.Open) {
    results.crashed += 1;
    return;
  }
  const answer = ending === RunState.Completed ? results.permits : null;
  await service.finish(start.value.permit, ending, answer);
}

const faults = fc.array(
  fc.constantFrom(Fault.None, Fault.None, ...Object.values(Fault)),
  { maxLength: 16 },
);
/** `Open` stands for a run whose daemon died. */
const endings = fc.array(fc.constantFrom(...Object.values(RunState)), {
  minLength: 2,
  maxLength: 6,
});

describe("RunRecordService", () => {
  // Guards against a call that runs twice under one idempotency key.
  it(`lets at most one attempt act for a key (seed ${SEED})`, async () => {
    const property = fc.asyncProperty(
      fc.scheduler(),
      faults,
      endings,
      async (scheduler, planned, ends) => {
        const platform = new ScheduledPlatform(scheduler, planned);
        const results = new Results();
        const attempted = ends.map((ending, index) => {
          const daemon = index % 3;
          const service = createService(
            platform,
            scheduler,
            index * 10 + daemon,
          );
          return attemptOnce(service, ending, results);
        });
        await scheduler.waitFor(Promise.all(attempted));
        expect(results.acted).to.be.at.most(1);
        expect(results.answers.size).to.be.at.most(1);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: SCHEDULES });
  });

  // Guards against a key that stays blocked by an attempt that never ran,
  // as it would without withdrawal.
  it(`frees the key when no attempt has acted (seed ${SEED})`, async () => {
    const property = fc.asyncProperty(
      fc.scheduler(),
      faults,
      async (scheduler, planned) => {
        const platform = new ScheduledPlatform(scheduler, planned);
        const results = new Results();
        const attempted = [1, 2, 3].map((daemon) => {
          const service = createService(platform, scheduler, daemon);
          return attemptOnce(service, RunState.NotRun, results);
        });
        await scheduler.waitFor(Promise.all(attempted));
        await scheduler.waitIdle();
        platform.clearFaults();
        const last = createService(platform, scheduler, 9);
        const pending = last.begin(RUN, request);
        const start = await scheduler.waitFor(pending);
        expect(start.isOk() && start.value.kind).to.equal("run");
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: SCHEDULES });
  });
});
