/** Helpers for tests of replica groups: settings, callers and assertions. */
import { expect } from "chai";
import { request } from "undici";
import type { IDomainRecord } from "../../src/common/groups/types.ts";
import type { IEngineLogEntry } from "../../src/stand_ins/engine_member/types.ts";
import { wholeText } from "../../src/stand_ins/engine_member/text.ts";
import { sendCall } from "./caller.ts";
import type { Deployment, IDeploymentPlan } from "./deployment.ts";
import { waitFor } from "./process_handle.ts";

const MEMBERS = 4;
const TOKENS = 12;
/** Milliseconds. */
const RETRY_DELAY = 20;

/** The zone of these tests and its fabric domain. */
export const ZONE = "vn-north-a";
export const DOMAIN = "vn-north-a-fabric";

/** Short leases, so that a takeover completes within two seconds. */
export const SHORT_LEASE_SETTINGS = {
  lease: "1500ms",
  takeover_margin: "600ms",
  renew_every: "400ms",
  freshness: "700ms",
  replace_after: "1s",
  hold_after_loss: "1s",
};
const FAST_POLLING_SETTINGS = {
  targets: "100ms",
  instances: "300ms",
  domains: "200ms",
};

/** A deployment of one zone, by default with two daemons. */
export function groupPlan(
  overrides: Partial<IDeploymentPlan> & { readonly enginesPerZone: number },
): IDeploymentPlan {
  return {
    example: "song_lam",
    zones: [ZONE],
    daemonsPerZone: 2,
    plainService: "delivery-api",
    engineArguments: ["--load-time", "100"],
    groups: SHORT_LEASE_SETTINGS,
    polling: FAST_POLLING_SETTINGS,
    ...overrides,
  };
}

/** Finds the daemon that holds the domain's lease, and the running others. */
export async function findHolder(
  deployment: Deployment,
): Promise<{ readonly holder: string; readonly others: readonly string[] }> {
  const daemons = deployment
    .processNames("daemon-")
    .filter((name) => !deployment.process(name).hasExited);
  let holder: string | undefined;
  await waitFor("one daemon holds the lease", async () => {
    const statuses = await Promise.all(
      daemons.map((daemon) => deployment.status(daemon)),
    );
    holder = daemons.find((_, index) =>
      statuses[index]?.domains.some(({ holding }) => holding),
    );
    return holder !== undefined;
  });
  const others = daemons.filter((daemon) => daemon !== holder);
  return { holder: holder ?? "", others };
}

/** Reads the domain's record from the platform. */
export async function readDomainRecord(
  deployment: Deployment,
): Promise<IDomainRecord> {
  const url = `http://${deployment.platformAddress}/objects/fabric_domains/${DOMAIN}`;
  const answer = await request(url);
  return ((await answer.body.json()) as { value: IDomainRecord }).value;
}

/** Waits until a daemon sees exactly `count` complete groups. */
export function waitForGroups(
  deployment: Deployment,
  daemon: string,
  count: number,
): Promise<void> {
  return waitFor(`${daemon} sees ${count} complete groups`, async () => {
    const { groups } = await deployment.status(daemon);
    return groups.filter((group) => group.complete).length === count;
  });
}

/** Sends calls to all given daemons until stopped, and checks each answer. */
export class ContinuousCaller {
  readonly #deployment: Deployment;
  readonly #finished: Promise<void>;
  #isStopped = false;
  completed = 0;
  readonly refusalReasons: string[] = [];

  constructor(deployment: Deployment, daemons: readonly string[]) {
    this.#deployment = deployment;
    const callers = daemons.map((daemon) => this.#callUntilStopped(daemon));
    this.#finished = Promise.all(callers).then(() => undefined);
  }

  /** Waits until `count` more requests have completed. */
  async waitForCompleted(count: number): Promise<void> {
    const expectedCount = this.completed + count;
    await waitFor(
      `${count} more answers`,
      () => this.completed >= expectedCount,
    );
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#finished;
  }

  async #callUntilStopped(daemon: string): Promise<void> {
    const address = this.#deployment.process(daemon).listeningField("callers");
    for (let index = 0; !this.#isStopped; index++) {
      const prompt = `${daemon} ${index}`;
      const reply = await sendCall({
        address,
        credential: "editor-desk-secret",
        operation: "summarizer/headline",
        body: { prompt, maximum_tokens: TOKENS },
      }).catch(() => null);
      if (reply?.body.outcome === "completed") {
        const text = wholeText(prompt, TOKENS);
        expect(reply.body.answer).to.deep.equal({ text, tokens: TOKENS });
        this.completed += 1;
      } else {
        this.refusalReasons.push(reply?.body.reason ?? "no answer");
        await new Promise((done) => setTimeout(done, RETRY_DELAY));
      }
    }
  }
}

/** An engine's name and its record of actions. */
export interface IEngineRecord {
  readonly engine: string;
  readonly deeds: readonly IEngineLogEntry[];
}

/** Fetches the records of all running engines. */
export async function fetchEngineRecords(
  deployment: Deployment,
): Promise<readonly IEngineRecord[]> {
  const engines = deployment
    .processNames("engine-")
    .filter((name) => !deployment.process(name).hasExited);
  return Promise.all(
    engines.map(async (engine) => {
      const { deeds: entries } = await deployment.fetchRecord<{
        deeds: IEngineLogEntry[];
      }>(engine);
      return { engine, deeds: entries };
    }),
  );
}

/**
 * Asserts from the engines' records that every member of the group worked on
 * each request that ended, in the generation that ended it.
 *
 * @param restarted - engines whose earlier records were lost by a restart
 */
export async function expectAllMembersWorked(
  deployment: Deployment,
  restarted: readonly string[] = [],
): Promise<void> {
  const records = await fetchEngineRecords(deployment);
  const names = await fetchEngineNames(deployment);
  const worked = new Set<string>();
  for (const { engine, deeds: entries } of records) {
    entries
      .filter(({ kind }) => kind === "worked")
      .forEach((entry) => worked.add(`${engine} ${requestKey(entry)}`));
  }
  const recorded = new Set(records.map(({ engine }) => engine));
  restarted.forEach((engine) => recorded.delete(engine));
  const ended = records.flatMap(({ engine, deeds: entries }) =>
    entries
      .filter(({ kind }) => kind === "ended")
      .map((entry) => ({ engine, entry })),
  );
  expect(ended, "requests ended").not.to.be.empty;
  for (const { engine, entry } of ended) {
    const members = entry.members.map((address) => names.get(address) ?? "");
    expect(new Set(members).size).to.equal(MEMBERS);
    for (const member of members) {
      if (member !== engine && recorded.has(member)) {
        expect(worked.has(`${member} ${requestKey(entry)}`)).to.equal(true);
      }
    }
  }
}

/** Maps the listed address of each engine to its name. */
async function fetchEngineNames(
  deployment: Deployment,
): Promise<ReadonlyMap<string, string>> {
  const answer = await request(
    `http://${deployment.platformAddress}/instances`,
  );
  const { instances } = (await answer.body.json()) as {
    instances: readonly { id: string; address: string }[];
  };
  return new Map(instances.map(({ id, address }) => [address, id]));
}

/** Asserts that no engine applied an order of an older epoch after a newer. */
export function expectEpochsNonDecreasing(
  records: readonly IEngineRecord[],
): void {
  for (const { engine, deeds: entries } of records) {
    const epochs = entries
      .filter(({ kind }) => kind === "joined" || kind === "released")
      .map(({ epoch }) => epoch);
    const sorted = [...epochs].sort((left, right) => left - right);
    expect(epochs, `epochs applied by ${engine}`).to.deep.equal(sorted);
  }
}

function requestKey(entry: IEngineLogEntry): string {
  return `${entry.requestId} ${entry.group} ${entry.generation}`;
}
