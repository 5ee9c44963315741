/**
 * Time from a member's death until its group serves again, by phase, in real
 * processes with and without a warm spare; then the cost of the number of
 * spares under the weights of both deployments: `npm run bench -- groups`.
 */
import { performance } from "node:perf_hooks";
import { request } from "undici";
import { chooseGroupCount } from "../src/common/groups/spare_count.ts";
import { Deployment } from "../test/support/deployment.ts";
import {
  groupPlan,
  readDomainRecord,
  ContinuousCaller,
  ZONE,
} from "../test/support/group_checks.ts";
import { waitFor } from "../test/support/process_handle.ts";

/** Milliseconds that the stand-in loads; real weights add minutes. */
const LOAD_TIME = 2_000;
const ROUNDS = 5;
/** Milliseconds until the platform starts a replacement without a spare. */
const RETURN_TIME = 5_000;
/** Milliseconds. */
const POLL_EVERY = 10;

/** Milliseconds from a member's death until the end of each phase. */
interface IRecoveryTimes {
  /** Every daemon has stopped sending to the group. */
  readonly notice: number;
  /** The record has the next generation: silence, decision and write. */
  readonly write: number;
  /** The last member has carried out its order. */
  readonly order: number;
  /** Every daemon sees the group complete. */
  readonly serve: number;
}

/** Time bounds of the default settings, so that figures match the product. */
const DEFAULT_GROUPS = {
  lease: "5s",
  takeover_margin: "2s",
  renew_every: "1500ms",
  freshness: "2s",
  replace_after: "4s",
};

async function measureUntil(
  start: number,
  condition: () => Promise<boolean>,
): Promise<number> {
  const bound = start + 60_000;
  while (!(await condition())) {
    if (performance.now() > bound) {
      throw new Error("the group did not recover within a minute");
    }
    await new Promise((done) => setTimeout(done, POLL_EVERY));
  }
  return performance.now() - start;
}

async function measure(
  deployment: Deployment,
  options: { readonly round: number; readonly hasSpare: boolean },
): Promise<IRecoveryTimes> {
  const daemons = deployment.processNames("daemon-");
  const before = (await readDomainRecord(deployment)).groups[0];
  const isComplete = async (daemon: string) => {
    const { groups } = await deployment.status(daemon);
    return groups.every((group) => group.complete);
  };
  const allReport = async (wanted: boolean) => {
    const seen = await Promise.all(daemons.map(isComplete));
    return seen.every((complete) => complete === wanted);
  };
  const start = performance.now();
  deployment.process(before?.members[1] ?? "").signal("SIGKILL");
  const notice = await measureUntil(start, () => allReport(false));
  if (!options.hasSpare) {
    const left = RETURN_TIME - (performance.now() - start);
    await new Promise((done) => setTimeout(done, left));
    await deployment.startEngine(`engine-new-${options.round}`, ZONE);
  }
  const generation = before?.generation ?? 0;
  const write = await measureUntil(start, async () => {
    const group = (await readDomainRecord(deployment)).groups[0];
    return (group?.generation ?? 0) > generation;
  });
  const order = await measureUntil(start, async () => {
    const members =
      (await readDomainRecord(deployment)).groups[0]?.members ?? [];
    const states = await Promise.all(
      members.map((member) => generationOf(deployment, member)),
    );
    return states.every((state) => state > generation);
  });
  const serve = await measureUntil(start, () => allReport(true));
  return { notice, write, order, serve };
}

async function generationOf(
  deployment: Deployment,
  member: string,
): Promise<number> {
  const address = deployment.process(member).listeningField("address");
  const answer = await request(`http://${address}/report`);
  const report = (await answer.body.json()) as {
    membership: { generation: number } | null;
  };
  return report.membership?.generation ?? 0;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function measureRecovery(hasSpare: boolean): Promise<number> {
  const spares = hasSpare ? ROUNDS : 0;
  await using deployment = await Deployment.start(
    groupPlan({
      enginesPerZone: 4 + spares,
      engineArguments: ["--load-time", String(LOAD_TIME)],
      // Fixed, so that every engine outside the one group is a spare.
      groups: { ...DEFAULT_GROUPS, spare_share: hasSpare ? 0.5 : 0 },
      polling: {},
    }),
  );
  const caller = new ContinuousCaller(
    deployment,
    deployment.processNames("daemon-"),
  );
  const parts: IRecoveryTimes[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    await waitFor("every daemon sees the group", async () => {
      const statuses = await Promise.all(
        deployment
          .processNames("daemon-")
          .map((name) => deployment.status(name)),
      );
      return statuses.every(({ groups }) => groups[0]?.complete);
    });
    await caller.waitForCompleted(5);
    parts.push(await measure(deployment, { round, hasSpare }));
  }
  await caller.stop();
  const name = hasSpare ? "with a spare" : "without a spare";
  const [notice, write, order, serve] = (
    ["notice", "write", "order", "serve"] as const
  ).map((part) => median(parts.map((entry) => entry[part])));
  print(`${name}: nobody sends to the group any more`, notice);
  print(`${name}: then decided and written`, (write ?? 0) - (notice ?? 0));
  print(`${name}: then ordered`, (order ?? 0) - (write ?? 0));
  print(`${name}: then loaded and seen complete`, (serve ?? 0) - (order ?? 0));
  print(`${name}: group downtime in all`, serve);
  return serve ?? 0;
}

function print(what: string, milliseconds: number | undefined): void {
  console.log(`${what}: ${Math.round(milliseconds ?? 0)} ms`);
}

const HOUR = 3_600_000;

/** Prints the choice by each deployment's weights and by the opposite ones. */
function compareSpareCounts(healTime: number): void {
  const cases = [
    { name: "song_lam", down: 100, stranded: 1, returnTime: 8 * HOUR },
    { name: "hormas", down: 1, stranded: 1, returnTime: HOUR / 2 },
  ];
  for (const { name, down, stranded, returnTime } of cases) {
    const weights = { groupDowntime: down, strandedAccelerators: stranded };
    const figures = {
      timeBetweenFailures: (24 * HOUR) / 0.018,
      returnTime,
      healTime,
    };
    const chosen = chooseGroupCount(20, 4, weights, figures);
    const swapped = { groupDowntime: stranded, strandedAccelerators: down };
    const other = chooseGroupCount(20, 4, swapped, figures);
    for (const [title, result] of [
      ["chosen", chosen],
      ["by the opposite weights", other],
    ] as const) {
      const { groups, spares, groupsDown, stranded: idle } = result;
      console.log(
        `${name}, 20 engines, ${title}: ${groups} groups and ${spares} ` +
          `spares; group downtime ${(groupsDown * 24 * 60).toFixed(1)} min a ` +
          `day; stranded ${idle.toFixed(2)} instances in the mean`,
      );
    }
  }
}

/** Measures recovery, then compares spare counts by the measured heal time. */
export async function run(): Promise<void> {
  const withSpare = await measureRecovery(true);
  const without = await measureRecovery(false);
  const ratio = (without / withSpare).toFixed(2);
  console.log(`downtime without a spare / with one: ${ratio}`);
  compareSpareCounts(withSpare);
}
