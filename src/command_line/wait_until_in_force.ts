/** Waits until all daemons that answer have a version of a list in force. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlanListName } from "../common/plans/types.ts";
import type { IPlatform } from "../common/services/services.ts";
import { queryStatuses } from "./query_daemons.ts";

/** Interval between queries, milliseconds. */
const POLL_INTERVAL = 200;

/** How far a version has been put in force when the wait ends. */
export interface IListRollout {
  readonly isEverywhere: boolean;
  /** Daemons that answered with an older version. */
  readonly behind: readonly string[];
  /** Daemons on the platform's list that did not answer; they do not count. */
  readonly silent: readonly string[];
}

/** @param timeout - milliseconds after which the wait ends */
export async function waitUntilInForce(
  platform: IPlatform,
  wanted: { readonly list: PlanListName; readonly version: number },
  timeout: number,
): Promise<IListRollout> {
  const until = performance.now() + timeout;
  for (;;) {
    const found = await checkRollout(platform, wanted);
    if (found.isEverywhere || performance.now() >= until) {
      return found;
    }
    await sleep(POLL_INTERVAL);
  }
}

async function checkRollout(
  platform: IPlatform,
  wanted: { readonly list: PlanListName; readonly version: number },
): Promise<IListRollout> {
  const statuses = await queryStatuses(platform);
  if (statuses.isErr()) {
    return { isEverywhere: false, behind: [], silent: [statuses.error.detail] };
  }
  const behind: string[] = [];
  const silent: string[] = [];
  for (const { entry, answer } of statuses.value.daemons) {
    const inForce = answer?.lists.find(({ list }) => list === wanted.list);
    if (answer === null) {
      silent.push(entry.daemon);
    } else if ((inForce?.version ?? 0) < wanted.version) {
      behind.push(entry.daemon);
    }
  }
  const hasAnswers = silent.length < statuses.value.daemons.length;
  return { isEverywhere: behind.length === 0 && hasAnswers, behind, silent };
}
